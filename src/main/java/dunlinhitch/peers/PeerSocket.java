package dunlinhitch.peers;

import dunlinhitch.core.Count;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.fleet.Word;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import java.util.function.Consumer;

/** Where this broker hears the others and speaks to them: UDP, a word a datagram. What can not be read is counted and dropped. */
public final class PeerSocket {
    private static final int MOST_BYTES = 32_768;
    private final DatagramSocket socket;
    private final Consumer<Event> events;

    public PeerSocket(Vertx vertx, Consumer<Event> events) {
        this.events = events;
        socket = vertx.createDatagramSocket(new DatagramSocketOptions().setReceiveBufferSize(4 * MOST_BYTES));
        socket.handler(this::read);
        socket.exceptionHandler(e -> events.accept(new Event.Noted(Count.PEER_WORDS_UNREAD)));
    }

    /** The result is its port. */
    public Future<Integer> listen(String host, int port) {
        return socket.listen(port, host).map(bound -> bound.localAddress().port());
    }

    private void read(DatagramPacket packet) {
        Word word;
        try {
            word = WordText.read(packet.data().toString());
        } catch (RuntimeException e) {
            events.accept(new Event.Noted(Count.PEER_WORDS_UNREAD));
            return;
        }
        events.accept(new Event.PeerSaid(word));
    }

    /** A word that is lost is not sent again: the next look tells what it told. */
    public void tell(Effect.TellPeer told) {
        String text = WordText.write(told.word());
        if (text.length() > MOST_BYTES) {
            events.accept(new Event.Noted(Count.PEER_WORDS_UNSENT));
            return;
        }
        socket.send(text, told.port(), told.host())
                .onFailure(e -> events.accept(new Event.Noted(Count.PEER_WORDS_UNSENT)));
    }

    public Future<Void> close() {
        return socket.close();
    }
}
