package dunlinhitch.cluster.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.cluster.Member;
import dunlinhitch.cluster.SuspicionReport;
import dunlinhitch.cluster.versions.VersionVector;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests gossip over real sockets. Malformed datagrams are counted, and later messages still arrive.
 */
class GossipSocketTest {
  private static final String LOCALHOST = "127.0.0.1";
  private static final Member SELF =
      new Member("n é", "0", LOCALHOST, 7001, 1_796_000_000_000L, Member.Status.ALIVE);
  private static final GossipMessage MESSAGE =
      new GossipMessage(
          GossipMessage.Kind.PING_REQUEST,
          SELF,
          42,
          "n2",
          new VersionVector("b 1", "0a1b", 1_796_000_000_000L, 17),
          List.of(new Member("n2", "", LOCALHOST, 7002, 7, Member.Status.SUSPECT)),
          List.of(
              new EndpointObservation(
                  "s1", 5, "n3", 9, 1_796_000_000_000_001L, List.of(5f, 0.25f), 3)),
          77,
          List.of(1L, -2L),
          List.of(new SuspicionReport("n2", 7, "n3")));
  private final Vertx vertx = Vertx.vertx();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }

  private Event nextEvent() throws InterruptedException {
    return events.poll(5, TimeUnit.SECONDS);
  }

  private static GossipMessage numbered(long number) {
    return new GossipMessage(GossipMessage.Kind.PING, SELF, number, "", null, List.of(), List.of());
  }

  @Test
  void malformedAndDuplicateDatagramsAreCountedByReason() throws Exception {
    int port =
        await(
            new GossipSocket(vertx, new AddressBook(256, List.of()), events::add)
                .listen(LOCALHOST, 0));
    GossipSocket sender = new GossipSocket(vertx, new AddressBook(256, List.of()), events::add);
    await(sender.listen(LOCALHOST, 0));
    byte[] datagram = GossipEncoder.encode(MESSAGE, 256, 1).all().get(0);
    byte[] newerVersion = datagram.clone();
    newerVersion[0]++;
    DatagramSocket raw = vertx.createDatagramSocket();
    for (var sent :
        List.of(
            Map.entry(Counter.GOSSIP_UNREADABLE, "who goes there".getBytes(StandardCharsets.UTF_8)),
            Map.entry(Counter.GOSSIP_UNREADABLE, "{\"v\":1}".getBytes(StandardCharsets.UTF_8)),
            Map.entry(Counter.GOSSIP_TRUNCATED, Arrays.copyOf(datagram, datagram.length / 2)),
            Map.entry(Counter.GOSSIP_OTHER_VERSION, newerVersion),
            Map.entry(Counter.GOSSIP_OVERSIZED, Arrays.copyOf(datagram, 20_000)))) {
      await(raw.send(Buffer.buffer(sent.getValue()), port, LOCALHOST));
      assertEquals(new Event.ConditionCounted(sent.getKey()), nextEvent());
    }
    sender.send(new Effect.SendGossip(LOCALHOST, port, MESSAGE));
    assertEquals(new Event.GossipReceived(MESSAGE), nextEvent());
    // A duplicate of the previous datagram is counted and dropped.
    await(raw.send(Buffer.buffer(datagram), port, LOCALHOST));
    assertEquals(new Event.ConditionCounted(Counter.GOSSIP_DUPLICATE), nextEvent());
    // Only the checksums of recent datagrams are remembered.
    for (int i = 0; i < 200; i++) {
      sender.send(new Effect.SendGossip(LOCALHOST, port, numbered(i)));
      assertEquals(new Event.GossipReceived(numbered(i)), nextEvent());
    }
    sender.send(new Effect.SendGossip(LOCALHOST, port, MESSAGE));
    assertEquals(new Event.GossipReceived(MESSAGE), nextEvent());
  }

  /**
   * A datagram that exceeds the maximum size is never sent. A larger message is split into several
   * datagrams.
   */
  @Test
  void oversizedDatagramsAreNotSent() throws Exception {
    BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
    DatagramSocket receiver =
        await(
            vertx
                .createDatagramSocket()
                .handler(packet -> sizes.add(packet.data().length()))
                .listen(0, LOCALHOST));
    int port = receiver.localAddress().port();
    GossipSocket sender = new GossipSocket(vertx, new AddressBook(256, List.of()), events::add);
    await(sender.listen(LOCALHOST, 0));
    sender.send(new byte[257], LOCALHOST, port);
    assertEquals(new Event.ConditionCounted(Counter.GOSSIP_UNSENT), nextEvent());
    List<EndpointObservation> observations = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      observations.add(
          new EndpointObservation(
              "s" + i, 0, "n" + i, i, 1_796_000_000_000_000L, List.of(0.5f, 1f), 0));
    }
    sender.send(
        new Effect.SendGossip(
            LOCALHOST,
            port,
            new GossipMessage(GossipMessage.Kind.ACK, SELF, 7, "", null, List.of(), observations)));
    for (int i = 0; i < GossipSocket.MAX_DATAGRAMS; i++) {
      Integer size = sizes.poll(5, TimeUnit.SECONDS);
      assertTrue(size > 200 && size <= 256, "size of the datagram: " + size);
    }
    assertEquals(new Event.ConditionCounted(Counter.GOSSIP_UPDATES_OMITTED), nextEvent());
  }

  /**
   * If all addresses are configured, no datagrams are exchanged with other addresses, and the
   * configured address of a broker takes precedence over the one in a message.
   */
  @Test
  void unknownAddressesAreRejectedAndConfiguredOnesTakePrecedence() throws Exception {
    GossipSocket sender = new GossipSocket(vertx, new AddressBook(256, List.of()), events::add);
    int senderPort = await(sender.listen(LOCALHOST, 0));
    GossipSocket receiver =
        new GossipSocket(
            vertx,
            new AddressBook(
                256,
                List.of(
                    new AddressBook.BrokerAddress("", LOCALHOST, senderPort),
                    new AddressBook.BrokerAddress("n2", LOCALHOST, 9))),
            events::add);
    int port = await(receiver.listen(LOCALHOST, 0));
    DatagramSocket stranger = await(vertx.createDatagramSocket().listen(0, LOCALHOST));
    await(
        stranger.send(
            Buffer.buffer(GossipEncoder.encode(MESSAGE, 256, 1).all().get(0)), port, LOCALHOST));
    assertEquals(new Event.ConditionCounted(Counter.GOSSIP_FOREIGN), nextEvent());
    receiver.send(new Effect.SendGossip(LOCALHOST, stranger.localAddress().port(), MESSAGE));
    assertEquals(new Event.ConditionCounted(Counter.GOSSIP_UNSENT), nextEvent());
    sender.send(new Effect.SendGossip(LOCALHOST, port, MESSAGE));
    GossipMessage received = ((Event.GossipReceived) nextEvent()).message();
    assertEquals(senderPort, received.from().port());
    assertEquals(
        List.of(new Member("n2", "", LOCALHOST, 9, 7, Member.Status.SUSPECT)),
        received.memberUpdates());
    assertEquals(
        MESSAGE,
        new GossipMessage(
            received.kind(),
            SELF,
            received.sequenceNumber(),
            received.subject(),
            received.versions(),
            MESSAGE.memberUpdates(),
            received.observations(),
            received.digest(),
            received.buckets(),
            received.suspicionReports()));
  }
}
