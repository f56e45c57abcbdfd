package dunlinhitch.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dunlinhitch.audit.Versions;
import dunlinhitch.core.Count;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.fleet.Peer;
import dunlinhitch.fleet.Signal;
import dunlinhitch.fleet.Word;
import io.vertx.core.Vertx;
import io.vertx.core.datagram.DatagramSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PeerSocketTest {
    private static final Peer SELF = new Peer("n é", "0", "127.0.0.1", 7001, 1_796_000_000_000L, Peer.Status.ALIVE);
    private static final Word WORD = new Word(Word.Kind.ASK, SELF, 42, "n2", new Versions("b 1", "0a1b", 1_796_000_000_000L, 17),
            List.of(new Peer("n2", "", "127.0.0.1", 7002, 7, Peer.Status.SUSPECT)),
            List.of(new Signal("s1", 5, "n3", 9, 1_796_000_000_000_001L, List.of(5f, 0.25f), 3)));

    @Test
    void aWordIsReadAsItWasWritten() {
        assertEquals(WORD, WordText.read(WordText.write(WORD)));
        Word plain = new Word(Word.Kind.LOOK, SELF, 1, "", null, List.of(), List.of());
        assertEquals(plain, WordText.read(WordText.write(plain)));
    }

    /** What a later version adds is passed over; what it changes under another number is not guessed at. */
    @Test
    void otherVersionsAndNonsenseAreTurnedDown() {
        String text = WordText.write(WORD);
        assertEquals(WORD, WordText.read(text.replace("{\"v\":1,", "{\"v\":1,\"mood\":\"good\",")));
        for (String bad : List.of("", "{", "[]", "{}", text.replace("\"v\":1", "\"v\":2"), text.replace("\"ask\"", "\"shout\""),
                text.replace("7002", "70020"), text.replace("0.25", "1e99"), text.replace("\"failed\":3", "\"failed\":-3"),
                text.replace("\"name\":\"n2\"", "\"name\":\"\""),
                text.replace("\"incarnation\":7", "\"incarnation\":9223372036854775807"), text.replace("\"seen\":1796", "\"seen\":-1796"))) {
            assertThrows(RuntimeException.class, () -> WordText.read(bad), bad);
        }
    }

    /** Over sockets: what can not be read is counted and the next word is heard. */
    @Test
    void nonsenseIsCountedAndTheNextWordIsHeard() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            BlockingQueue<Event> events = new LinkedBlockingQueue<>();
            PeerSocket ear = new PeerSocket(vertx, events::add);
            int port = ear.listen("127.0.0.1", 0).toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
            PeerSocket mouth = new PeerSocket(vertx, events::add);
            mouth.listen("127.0.0.1", 0).toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
            DatagramSocket stranger = vertx.createDatagramSocket();
            stranger.send("who goes there", port, "127.0.0.1").toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
            assertEquals(new Event.Noted(Count.PEER_WORDS_UNREAD), events.poll(5, TimeUnit.SECONDS));
            mouth.tell(new Effect.TellPeer("127.0.0.1", port, WORD));
            assertEquals(new Event.PeerSaid(WORD), events.poll(5, TimeUnit.SECONDS));
            stranger.close();
            mouth.close();
            ear.close();
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        }
    }
}
