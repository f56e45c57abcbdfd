package dunlinhitch.server;

import dunlinhitch.balancer.settings.CanonicalSettings;
import dunlinhitch.cluster.ClusterSettings;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import dunlinhitch.cluster.MembershipProtocolSettings;
import dunlinhitch.cluster.SubsetSettings;
import dunlinhitch.cluster.gossip.AddressBook;
import dunlinhitch.cluster.gossip.GossipSocket;
import dunlinhitch.cluster.versions.SettingsDigest;
import dunlinhitch.cluster.versions.VersionSkewSettings;
import dunlinhitch.cluster.versions.VersionVector;
import dunlinhitch.config.Config;
import dunlinhitch.config.GossipAddresses;
import dunlinhitch.config.Product;
import dunlinhitch.core.ClusterIdentity;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * This broker's participation in its cluster, if the product's settings file has a {@code [fleet]}
 * section: its identity, with which the reducer runs the membership protocol, and the gossip
 * socket. Runs on the event loop.
 */
final class ClusterGossip {
  /**
   * The timeout of an ack is the protocol period divided by this. After the timeout, other members
   * are asked to send indirect probes.
   */
  private static final int ACK_TIMEOUT_DIVISOR = 3;

  /** A failed member is remembered for at least this time. */
  private static final long MINIMUM_RETENTION_US = 30_000_000;

  /** A failed member is remembered for at least this many suspicion timeouts. */
  private static final int RETENTION_SUSPICION_TIMEOUTS = 10;

  /**
   * Each broker waits for its predecessor in the duty rotation for this fraction of a rotation
   * period.
   */
  private static final double DUTY_TIMEOUT_PART = 0.4;

  /** Maximum datagram length of the platform's protocol. */
  private static final int PLATFORM_DATAGRAM_BYTES = 256;

  private static final long MICROS_PER_MILLI = 1000;

  private final Vertx vertx;
  private final Product.Cluster cluster;
  private final ClusterIdentity identity;
  private final AddressBook addressBook;

  /** Null until the broker listens. */
  private GossipSocket socket;

  ClusterGossip(Vertx vertx, Config config, MicroClock clock) {
    this.vertx = vertx;
    cluster = config.product().cluster();
    addressBook = addressBook(cluster, config.gossipAddresses(), config.name());
    long startMs = System.currentTimeMillis();
    List<String> zones = config.settings().zones();
    int zoneIndex = config.settings().zone();
    Member self =
        new Member(
            config.name(),
            zoneIndex < zones.size() ? Integer.toString(zoneIndex) : "",
            cluster.advertise().host(),
            cluster.advertise().port(),
            startMs,
            Member.Status.ALIVE);
    identity =
        new ClusterIdentity(
            self,
            cluster.peers().stream()
                .map(peer -> new MembershipProtocol.Seed(peer.host(), peer.port()))
                .toList(),
            clusterSettings(cluster, addressBook),
            startMs * MICROS_PER_MILLI - clock.getAsLong(),
            new VersionSkewSettings(
                cluster.stragglerAfterUs(),
                VersionSkewSettings.STANDARD.refreshIntervalUs(),
                cluster.fenceAfterUs()),
            new VersionVector(
                BuildVersion.TEXT,
                SettingsDigest.of(CanonicalSettings.of(config.settings())),
                config.writtenMs(),
                0));
  }

  /**
   * Returns the addresses of the members. If the platform's configuration lists peers, only these
   * and this broker are members. This broker is added under the address that it advertises. If it
   * were added under an address from the list of peers, it would treat itself as a different member
   * with the same name.
   */
  static AddressBook addressBook(Product.Cluster cluster, GossipAddresses platform, String self) {
    boolean platformListens = platform != null && platform.listen() != null;
    List<AddressBook.BrokerAddress> members = new ArrayList<>();
    if (platformListens
        && platform.listen().equals(cluster.listen())
        && !platform.peers().isEmpty()) {
      platform
          .peers()
          .forEach(
              peer ->
                  members.add(
                      new AddressBook.BrokerAddress(
                          peer.name(), peer.address().host(), peer.address().port())));
      members.add(
          new AddressBook.BrokerAddress(
              self, cluster.advertise().host(), cluster.advertise().port()));
    }
    return new AddressBook(
        platformListens ? PLATFORM_DATAGRAM_BYTES : GossipSocket.DEFAULT_MAX_BYTES, members);
  }

  /** Returns the cluster's settings; messages are limited to what the socket can send. */
  static ClusterSettings clusterSettings(Product.Cluster cluster, AddressBook addressBook) {
    ClusterSettings standard = ClusterSettings.STANDARD;
    MembershipProtocolSettings protocol =
        new MembershipProtocolSettings(
                cluster.protocolPeriodUs(),
                cluster.protocolPeriodUs() / ACK_TIMEOUT_DIVISOR,
                standard.membership().indirectProbes(),
                cluster.suspicionUs(),
                Math.max(
                    MINIMUM_RETENTION_US, RETENTION_SUSPICION_TIMEOUTS * cluster.suspicionUs()),
                standard.membership().maxMembers())
            .withMaxMessageBytes(addressBook.maxDatagramBytes())
            .withAddresses(!addressBook.isConfigured());
    return new ClusterSettings(
        new SubsetSettings(cluster.minSubset(), standard.subsets().spread(), cluster.slack()),
        protocol,
        cluster.healthCheckIntervalUs(),
        (long) (DUTY_TIMEOUT_PART * cluster.healthCheckIntervalUs()),
        standard.maxAgeUs(),
        standard.maxEndpoints());
  }

  /** Returns the identity with which the reducer runs the membership protocol. */
  ClusterIdentity identity() {
    return identity;
  }

  /** Listens for gossip; the result is the port. */
  Future<Integer> listen(Consumer<Event> events) {
    socket = new GossipSocket(vertx, addressBook, events);
    return socket.listen(cluster.listen().host(), cluster.listen().port());
  }

  /**
   * Sends a message. A message sent before the socket listens is dropped, which is safe because any
   * datagram may be lost.
   */
  void send(Effect.SendGossip gossip) {
    if (socket != null) {
      socket.send(gossip);
    }
  }

  Future<Void> close() {
    return socket == null ? Future.succeededFuture() : socket.close();
  }
}
