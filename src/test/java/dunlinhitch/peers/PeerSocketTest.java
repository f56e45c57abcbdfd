package dunlinhitch.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.audit.Versions;
import dunlinhitch.core.Count;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.fleet.Doubt;
import dunlinhitch.fleet.Peer;
import dunlinhitch.fleet.Signal;
import dunlinhitch.fleet.Word;
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
class PeerSocketTest {
  private static final String HERE = "127.0.0.1";
  private static final Peer SELF =
      new Peer("n é", "0", HERE, 7001, 1_796_000_000_000L, Peer.Status.ALIVE);
  private static final Word WORD =
      new Word(
          Word.Kind.ASK,
          SELF,
          42,
          "n2",
          new Versions("b 1", "0a1b", 1_796_000_000_000L, 17),
          List.of(new Peer("n2", "", HERE, 7002, 7, Peer.Status.SUSPECT)),
          List.of(new Signal("s1", 5, "n3", 9, 1_796_000_000_000_001L, List.of(5f, 0.25f), 3)),
          77,
          List.of(1L, -2L),
          List.of(new Doubt("n2", 7, "n3")));
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

  private static Word numbered(long number) {
    return new Word(Word.Kind.LOOK, SELF, number, "", null, List.of(), List.of());
  }

  @Test
  void whatCanNotBeTakenIsCountedByItsKind() throws Exception {
    int port = get(new PeerSocket(vertx, new Reach(256, List.of()), events::add).listen(HERE, 0));
    PeerSocket mouth = new PeerSocket(vertx, new Reach(256, List.of()), events::add);
    get(mouth.listen(HERE, 0));
    byte[] whole = WordForm.write(WORD, 256, 1).all().get(0);
    byte[] later = whole.clone();
    later[0]++;
    DatagramSocket raw = vertx.createDatagramSocket();
    for (var sent :
        List.of(
            Map.entry(Count.PEER_WORDS_UNREAD, "who goes there".getBytes()),
            Map.entry(Count.PEER_WORDS_UNREAD, "{\"v\":1}".getBytes()),
            Map.entry(Count.PEER_WORDS_CUT, Arrays.copyOf(whole, whole.length / 2)),
            Map.entry(Count.PEER_WORDS_LATER, later),
            Map.entry(Count.PEER_WORDS_HUGE, Arrays.copyOf(whole, 20_000)))) {
      get(raw.send(Buffer.buffer(sent.getValue()), port, HERE));
      assertEquals(new Event.Noted(sent.getKey()), next());
    }
    mouth.tell(new Effect.TellPeer(HERE, port, WORD));
    assertEquals(new Event.PeerSaid(WORD), next());
    get(raw.send(Buffer.buffer(whole), port, HERE)); // the network brings it again
    assertEquals(new Event.Noted(Count.PEER_WORDS_DOUBLE), next());
    for (int i = 0; i < 200; i++) { // the memory of what came is bounded
      mouth.tell(new Effect.TellPeer(HERE, port, numbered(i)));
      assertEquals(new Event.PeerSaid(numbered(i)), next());
    }
    mouth.tell(new Effect.TellPeer(HERE, port, WORD));
    assertEquals(new Event.PeerSaid(WORD), next());
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
    PeerSocket mouth = new PeerSocket(vertx, new Reach(256, List.of()), events::add);
    get(mouth.listen(HERE, 0));
    mouth.send(new byte[257], HERE, port);
    assertEquals(new Event.Noted(Count.PEER_WORDS_UNSENT), next());
    List<Signal> signals = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      signals.add(new Signal("s" + i, 0, "n" + i, i, 1_796_000_000_000_000L, List.of(0.5f, 1f), 0));
    }
    mouth.tell(
        new Effect.TellPeer(
            HERE, port, new Word(Word.Kind.THERE, SELF, 7, "", null, List.of(), signals)));
    for (int i = 0; i < PeerSocket.MOST_DATAGRAMS; i++) {
      Integer size = sizes.poll(5, TimeUnit.SECONDS);
      assertTrue(size > 200 && size <= 256, "a datagram of " + size);
    }
    assertEquals(new Event.Noted(Count.PEER_NEWS_LEFT_OUT), next());
  }

  /**
   * Where all addresses are told, a stranger is not heard nor spoken to, and a broker is where it
   * is told to be.
   */
  @Test
  void strangersAreCountedAndAddressesAreThoseThatWereTold() throws Exception {
    PeerSocket mouth = new PeerSocket(vertx, new Reach(256, List.of()), events::add);
    int known = get(mouth.listen(HERE, 0));
    PeerSocket ear =
        new PeerSocket(
            vertx,
            new Reach(
                256, List.of(new Reach.Known("", HERE, known), new Reach.Known("n2", HERE, 9))),
            events::add);
    int port = get(ear.listen(HERE, 0));
    DatagramSocket stranger = get(vertx.createDatagramSocket().listen(0, HERE));
    get(stranger.send(Buffer.buffer(WordForm.write(WORD, 256, 1).all().get(0)), port, HERE));
    assertEquals(new Event.Noted(Count.PEER_WORDS_FOREIGN), next());
    ear.tell(new Effect.TellPeer(HERE, stranger.localAddress().port(), WORD));
    assertEquals(new Event.Noted(Count.PEER_WORDS_UNSENT), next());
    mouth.tell(new Effect.TellPeer(HERE, port, WORD));
    Word heard = ((Event.PeerSaid) next()).word();
    assertEquals(known, heard.from().port());
    assertEquals(List.of(new Peer("n2", "", HERE, 9, 7, Peer.Status.SUSPECT)), heard.peers());
    assertEquals(
        WORD,
        new Word(
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
