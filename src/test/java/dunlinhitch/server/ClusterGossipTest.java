package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.MembershipProtocol;
import dunlinhitch.cluster.gossip.AddressBook;
import dunlinhitch.cluster.gossip.GossipSocket;
import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.ConfigFile;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.experiments.testbed.FreePorts;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.datagram.DatagramSocket;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The platform's addresses for gossip between brokers: always read, but used only if the product's
 * settings file has a {@code [fleet]} section.
 */
class ClusterGossipTest {
  @TempDir private Path dir;

  private ConfigFile file(String keys, boolean allowed, String own) throws IOException {
    Path path =
        Files.writeString(
            dir.resolve("config.json"),
            "{\"name\":\"n0\",\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\","
                + keys
                + "\"settings\":{\"Classes\":[{\"Name\":\"a\",\"DeadlineUs\":1000000}],\"Limits\":{\"PeerMessages\":"
                + allowed
                + "}}}");
    Path conf = dir.resolve("own.conf");
    Files.deleteIfExists(conf);
    return new ConfigFile(path, own.isEmpty() ? conf : Files.writeString(conf, own), Map.of());
  }

  private Config read(String keys, String own) throws IOException {
    return file(keys, true, own).read();
  }

  private static final String LISTEN = "\"peer_listen\":\"127.0.0.1:7400\",";

  @Test
  void readsPeersInAllSupportedForms() throws IOException {
    Address one = new Address("10.0.0.1", 7400);
    Address two = new Address("10.0.0.2", 7401);
    for (String form :
        List.of(
            "[\"10.0.0.1:7400\",\"10.0.0.2:7401\"]",
            "{\"n1\":\"10.0.0.1:7400\",\"n2\":\"10.0.0.2:7401\"}",
            "[{\"name\":\"n1\",\"zone\":\"a\",\"addr\":\"10.0.0.1:7400\"},{\"n2\":\"10.0.0.2:7401\"}]")) {
      assertEquals(
          List.of(one, two),
          read(LISTEN + "\"peers\":" + form + ",", "").gossipAddresses().peers().stream()
              .map(p -> p.address())
              .toList());
    }
    assertNull(
        read("\"peers\":[],\"peer_listen\":null,", "").gossipAddresses(),
        "no gossip addresses are configured");
    assertNull(
        read(LISTEN + "\"peers\":{\"n1\":\"10.0.0.1:7400\"},", "").product().cluster(),
        "the addresses alone must not enable gossip");
  }

  /**
   * Unusable addresses are logged but do not fail the start; the broker then runs without a
   * cluster.
   */
  @Test
  void unusablePeerAddressesDisableGossip() throws IOException {
    for (String bad :
        List.of(
            "\"peers\":[\"10.0.0.1:7400\"],",
            LISTEN + "\"peers\":[7],",
            LISTEN + "\"peers\":[\"host:7400\"],",
            LISTEN + "\"peers\":[{\"name\":\"n1\"}],",
            "\"peer_listen\":\"127.0.0.1:0\",",
            "\"peer_listen\":{},\"peers_all\":\"x\",",
            LISTEN + "\"peers_all\":\"10.0.0.1\",")) {
      Config config = read(bad, "[fleet]\n");
      assertTrue(
          config
              .gossipAddresses()
              .unusableReason()
              .startsWith("gossip disabled, the platform's addresses cannot be used: "),
          bad);
      assertNull(config.product().cluster(), bad);
    }
    assertTrue(
        file(LISTEN, false, "").read().gossipAddresses().unusableReason().contains("PeerMessages"));
    assertThrows(Config.ConfigException.class, () -> read("", "[fleet]\n"));
    assertThrows(Config.ConfigException.class, () -> read(LISTEN, "[fleet]\npeer 10.0.0.1:7400\n"));
    assertThrows(
        Config.ConfigException.class, () -> read(LISTEN, "[fleet]\nlisten 127.0.0.1:7400\n"));
  }

  /** Peers may be added and removed between two reads of the file. */
  @Test
  void reloadAcceptsOtherPeers() throws IOException {
    ConfigFile file = file(LISTEN + "\"peers\":{\"n1\":\"10.0.0.1:7400\"},", true, "[fleet]\n");
    assertEquals(7400, file.read().product().cluster().listen().port());
    read(LISTEN + "\"peers\":{\"n2\":\"10.0.0.2:7400\"},", "[fleet]\n");
    assertEquals(7400, file.reload().product().cluster().listen().port());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }

  /**
   * Peers may use another address for this broker. The broker must not treat this address as a
   * different member with the same name.
   */
  @Test
  void advertisesItsOwnAddressRegardlessOfPeerConfiguration() throws Exception {
    Vertx vertx = Vertx.vertx();
    try {
      GossipSocket other = new GossipSocket(vertx, new AddressBook(256, List.of()), event -> {});
      int port = await(other.listen("127.0.0.1", 0));
      int own = FreePorts.udp();
      ClusterGossip clusterGossip =
          new ClusterGossip(
              vertx,
              read(
                  LISTEN.replace("7400", Integer.toString(own))
                      + "\"peers\":{\"n1\":\"127.0.0.1:"
                      + port
                      + "\"},",
                  "[fleet]\n"),
              new MicroClock());
      BlockingQueue<Event> events = new LinkedBlockingQueue<>();
      await(clusterGossip.listen(events::add));
      Member self = clusterGossip.identity().self();
      other.send(
          new Effect.SendGossip(
              "127.0.0.1",
              own,
              new GossipMessage(
                  GossipMessage.Kind.GOSSIP,
                  new Member("n1", "", "10.9.9.9", 7400, 5, Member.Status.ALIVE),
                  0,
                  "",
                  null,
                  List.of(
                      new Member(
                          "n0",
                          self.zone(),
                          "10.9.9.8",
                          7400,
                          self.incarnation(),
                          Member.Status.ALIVE)),
                  List.of())));
      GossipMessage received = ((Event.GossipReceived) events.poll(5, TimeUnit.SECONDS)).message();
      assertEquals(List.of(self), received.memberUpdates());
      assertEquals(port, received.from().port());
    } finally {
      await(vertx.close());
    }
  }

  private static List<Member> membersWithLongNames(int count) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(
          new Member(
              "broker-of-a-long-name-" + i,
              "0",
              "10.0.0." + i,
              7400,
              1_796_000_000_000L,
              Member.Status.ALIVE));
    }
    return members;
  }

  /** Seeds and identity follow the platform's file, and no datagram exceeds its 256 bytes. */
  @Test
  void usesThePlatformsAddressesAndDatagramLimit() throws Exception {
    Vertx vertx = Vertx.vertx();
    try {
      BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
      DatagramSocket other =
          vertx.createDatagramSocket().handler(packet -> sizes.add(packet.data().length()));
      int port = await(other.listen(0, "127.0.0.1")).localAddress().port();
      int own = FreePorts.udp();
      Config config =
          read(
              LISTEN.replace("7400", Integer.toString(own))
                  + "\"peers\":{\"n0\":\"127.0.0.1:7411\",\"n1\":\"127.0.0.1:"
                  + port
                  + "\"},",
              "[fleet]\n");
      ClusterGossip clusterGossip = new ClusterGossip(vertx, config, new MicroClock());
      assertEquals(7411, clusterGossip.identity().self().port());
      assertEquals(
          List.of(new MembershipProtocol.Seed("127.0.0.1", port)),
          clusterGossip.identity().seeds());
      assertEquals(256, clusterGossip.identity().settings().membership().maxMessageBytes());
      assertFalse(
          clusterGossip.identity().settings().membership().digestCoversAddresses(),
          "the digest must not cover addresses: brokers may know a peer by different addresses");
      List<Member> peers = membersWithLongNames(12);
      await(clusterGossip.listen(event -> {}));
      clusterGossip.send(
          new Effect.SendGossip(
              "127.0.0.1",
              port,
              new GossipMessage(
                  GossipMessage.Kind.JOIN,
                  clusterGossip.identity().self(),
                  1,
                  "",
                  clusterGossip.identity().versions(),
                  peers,
                  List.of())));
      for (int i = 0; i < 2; i++) {
        Integer size = sizes.poll(5, TimeUnit.SECONDS);
        assertTrue(size != null && size <= 256, "datagram size: " + size);
      }
    } finally {
      await(vertx.close());
    }
  }
}
