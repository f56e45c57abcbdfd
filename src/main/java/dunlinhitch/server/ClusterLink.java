package dunlinhitch.server;

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
 * This broker's link to the others, where the product's own file has a {@code [fleet]}: its place
 * for the reducer, and the socket.
 */
final class ClusterLink {
  /** Of the time between two looks an answer may take so much; then others are asked. */
  private static final int ANSWER_PART = 3;

  private static final long FORGET_US = 30_000_000;
  private static final int FORGET_SUSPICIONS = 10;
  private static final double PATIENCE = 0.4;

  /** PROTOCOL: a longer datagram ends the platform's run. */
  private static final int PLATFORM_BYTES = 256;

  private final Vertx vertx;
  private final Product.Fleet told;
  private final ClusterIdentity place;
  private final AddressBook reach;
  private GossipSocket socket;

  ClusterLink(Vertx vertx, Config config, MicroClock clock) {
    this.vertx = vertx;
    told = config.product().fleet();
    reach = reach(told, config.talk(), config.name());
    long dayMs = System.currentTimeMillis();
    List<String> zones = config.settings().zones();
    int zone = config.settings().zone();
    Member self =
        new Member(
            config.name(),
            zone < zones.size() ? Integer.toString(zone) : "",
            told.advertise().host(),
            told.advertise().port(),
            dayMs,
            Member.Status.ALIVE);
    place =
        new ClusterIdentity(
            self,
            told.peers().stream()
                .map(peer -> new MembershipProtocol.Seed(peer.host(), peer.port()))
                .toList(),
            settings(told, reach),
            dayMs * 1000 - clock.getAsLong(),
            new VersionSkewSettings(
                told.behindUs(), VersionSkewSettings.STANDARD.againUs(), told.shutOutUs()),
            new VersionVector(
                BuildVersion.TEXT, SettingsDigest.of(config.settings()), config.writtenMs(), 0));
  }

  /**
   * Where the platform says where the others are, nobody else is one of them. This broker is at its
   * own address whatever others are told that it is, or it would take itself for another one of its
   * name.
   */
  static AddressBook reach(Product.Fleet told, GossipAddresses talk, String self) {
    boolean there = talk != null && talk.listen() != null;
    List<AddressBook.Known> known = new ArrayList<>();
    if (there && talk.listen().equals(told.listen()) && !talk.peers().isEmpty()) {
      talk.peers()
          .forEach(
              one ->
                  known.add(new AddressBook.Known(one.name(), one.at().host(), one.at().port())));
      known.add(new AddressBook.Known(self, told.advertise().host(), told.advertise().port()));
    }
    return new AddressBook(there ? PLATFORM_BYTES : GossipSocket.STANDARD_BYTES, known);
  }

  /** The view reckons with words as large as the socket lets out. */
  static ClusterSettings settings(Product.Fleet told, AddressBook reach) {
    ClusterSettings standard = ClusterSettings.STANDARD;
    MembershipProtocolSettings view =
        new MembershipProtocolSettings(
                told.lookUs(),
                told.lookUs() / ANSWER_PART,
                standard.view().helpers(),
                told.suspectUs(),
                Math.max(FORGET_US, FORGET_SUSPICIONS * told.suspectUs()),
                standard.view().mostPeers())
            .withWords(reach.mostBytes())
            .withAddresses(!reach.isTold());
    return new ClusterSettings(
        new SubsetSettings(told.least(), standard.subsets().spread(), told.slack()),
        view,
        told.turnUs(),
        (long) (PATIENCE * told.turnUs()),
        standard.staleUs(),
        standard.mostStores());
  }

  ClusterIdentity place() {
    return place;
  }

  Future<Integer> listen(Consumer<Event> events) {
    socket = new GossipSocket(vertx, reach, events);
    return socket.listen(told.listen().host(), told.listen().port());
  }

  /** What is said before it listens is lost, as any word may be. */
  void tell(Effect.SendGossip word) {
    if (socket != null) {
      socket.tell(word);
    }
  }

  Future<Void> close() {
    return socket == null ? Future.succeededFuture() : socket.close();
  }
}
