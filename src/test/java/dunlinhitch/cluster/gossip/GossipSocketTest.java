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
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Over sockets: what can not be taken is counted by its kind, and the next word is heard. */
class GossipSocketTest {
  private static final String HERE = "127.0.0.1";
  private static final Member SELF =
      new Member("n é", "0", HERE, 7001, 1_796_000_000_000L, Member.Status.ALIVE);
  private static final GossipMessage WORD =
      new GossipMessage(
          GossipMessage.Kind.PING_REQUEST,
          SELF,
          42,
          "n2",
          new VersionVector("b 1", "0a1b", 1_796_000_000_000L, 17),
          List.of(new Member("n2", "", HERE, 7002, 7, Member.Status.SUSPECT)),
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
    get(vertx.close());
  }

  private static <T> T get(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }

  private Event next() throws InterruptedException {
    return events.poll(5, TimeUnit.SECONDS);
  }

  private static GossipMessage numbered(long number) {
    return new GossipMessage(GossipMessage.Kind.PING, SELF, number, "", null, List.of(), List.of());
  }

  @Test
  void whatCanNotBeTakenIsCountedByItsKind() throws Exception {
    int port =
        get(new GossipSocket(vertx, new AddressBook(256, List.of()), events::add).listen(HERE, 0));
    GossipSocket mouth = new GossipSocket(vertx, new AddressBook(256, List.of()), events::add);
    get(mouth.listen(HERE, 0));
    byte[] whole = GossipDecoder.write(WORD, 256, 1).all().get(0);
    byte[] later = whole.clone();
    later[0]++;
    DatagramSocket raw = vertx.createDatagramSocket();
    for (var sent :
        List.of(
            Map.entry(Counter.PEER_WORDS_UNREAD, "who goes there".getBytes()),
            Map.entry(Counter.PEER_WORDS_UNREAD, "{\"v\":1}".getBytes()),
            Map.entry(Counter.PEER_WORDS_CUT, Arrays.copyOf(whole, whole.length / 2)),
            Map.entry(Counter.PEER_WORDS_LATER, later),
            Map.entry(Counter.PEER_WORDS_HUGE, Arrays.copyOf(whole, 20_000)))) {
      get(raw.send(Buffer.buffer(sent.getValue()), port, HERE));
      assertEquals(new Event.ConditionCounted(sent.getKey()), next());
    }
    mouth.tell(new Effect.SendGossip(HERE, port, WORD));
    assertEquals(new Event.GossipReceived(WORD), next());
    get(raw.send(Buffer.buffer(whole), port, HERE)); // the network brings it again
    assertEquals(new Event.ConditionCounted(Counter.PEER_WORDS_DOUBLE), next());
    for (int i = 0; i < 200; i++) { // the memory of what came is bounded
      mouth.tell(new Effect.SendGossip(HERE, port, numbered(i)));
      assertEquals(new Event.GossipReceived(numbered(i)), next());
    }
    mouth.tell(new Effect.SendGossip(HERE, port, WORD));
    assertEquals(new Event.GossipReceived(WORD), next());
  }

  /**
   * However it was made, a datagram over the bound does not leave; a word that is larger leaves as
   * several.
   */
  @Test
  void nothingOverTheBoundIsSent() throws Exception {
    BlockingQueue<Integer> sizes = new LinkedBlockingQueue<>();
    DatagramSocket ear =
        get(
            vertx
                .createDatagramSocket()
                .handler(packet -> sizes.add(packet.data().length()))
                .listen(0, HERE));
    int port = ear.localAddress().port();
    GossipSocket mouth = new GossipSocket(vertx, new AddressBook(256, List.of()), events::add);
    get(mouth.listen(HERE, 0));
    mouth.send(new byte[257], HERE, port);
    assertEquals(new Event.ConditionCounted(Counter.PEER_WORDS_UNSENT), next());
    List<EndpointObservation> signals = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      signals.add(
          new EndpointObservation(
              "s" + i, 0, "n" + i, i, 1_796_000_000_000_000L, List.of(0.5f, 1f), 0));
    }
    mouth.tell(
        new Effect.SendGossip(
            HERE,
            port,
            new GossipMessage(GossipMessage.Kind.ACK, SELF, 7, "", null, List.of(), signals)));
    for (int i = 0; i < GossipSocket.MOST_DATAGRAMS; i++) {
      Integer size = sizes.poll(5, TimeUnit.SECONDS);
      assertTrue(size > 200 && size <= 256, "a datagram of " + size);
    }
    assertEquals(new Event.ConditionCounted(Counter.PEER_NEWS_LEFT_OUT), next());
  }

  /**
   * Where all addresses are told, a stranger is not heard nor spoken to, and a broker is where it
   * is told to be.
   */
  @Test
  void strangersAreCountedAndAddressesAreThoseThatWereTold() throws Exception {
    GossipSocket mouth = new GossipSocket(vertx, new AddressBook(256, List.of()), events::add);
    int known = get(mouth.listen(HERE, 0));
    GossipSocket ear =
        new GossipSocket(
            vertx,
            new AddressBook(
                256,
                List.of(
                    new AddressBook.Known("", HERE, known), new AddressBook.Known("n2", HERE, 9))),
            events::add);
    int port = get(ear.listen(HERE, 0));
    DatagramSocket stranger = get(vertx.createDatagramSocket().listen(0, HERE));
    get(stranger.send(Buffer.buffer(GossipDecoder.write(WORD, 256, 1).all().get(0)), port, HERE));
    assertEquals(new Event.ConditionCounted(Counter.PEER_WORDS_FOREIGN), next());
    ear.tell(new Effect.SendGossip(HERE, stranger.localAddress().port(), WORD));
    assertEquals(new Event.ConditionCounted(Counter.PEER_WORDS_UNSENT), next());
    mouth.tell(new Effect.SendGossip(HERE, port, WORD));
    GossipMessage heard = ((Event.GossipReceived) next()).word();
    assertEquals(known, heard.from().port());
    assertEquals(List.of(new Member("n2", "", HERE, 9, 7, Member.Status.SUSPECT)), heard.peers());
    assertEquals(
        WORD,
        new GossipMessage(
            heard.kind(),
            SELF,
            heard.number(),
            heard.about(),
            heard.versions(),
            WORD.peers(),
            heard.signals(),
            heard.digest(),
            heard.buckets(),
            heard.doubts()));
  }
}
