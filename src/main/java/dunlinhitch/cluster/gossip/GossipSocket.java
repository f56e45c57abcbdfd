package dunlinhitch.cluster.gossip;

import dunlinhitch.cluster.GossipMessage;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.SocketAddress;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Where this broker hears the others and speaks to them: UDP, a word a datagram. What can not be
 * read is counted by its kind and dropped; one that comes twice is taken once, for to answer it
 * twice would cost twice.
 */
public final class GossipSocket {
  /**
   * What a datagram holds at the most where the network has no figure of its own: no common link
   * cuts it up.
   */
  public static final int STANDARD_BYTES = 1_200;

  /**
   * Datagrams of one word. What finds no room then rides on the next word, or is told by another
   * broker.
   */
  static final int MOST_DATAGRAMS = 3;

  /** Datagrams that come in a burst and wait for the loop. */
  private static final int BUFFER_BYTES = 65_536;

  /** A network that doubles does so within moments: some 10 s of words in a fleet of 100. */
  private static final int REMEMBERED = 128;

  private static final long NONE = -1;
  private final DatagramSocket socket;
  private final AddressBook reach;
  private final Consumer<Event> events;

  /** The sums of the datagrams that came last, as unsigned numbers. */
  private final long[] heard = new long[REMEMBERED];

  private int next;

  public GossipSocket(Vertx vertx, AddressBook reach, Consumer<Event> events) {
    this.reach = reach;
    this.events = events;
    Arrays.fill(heard, NONE);
    socket =
        vertx.createDatagramSocket(new DatagramSocketOptions().setReceiveBufferSize(BUFFER_BYTES));
    socket.handler(this::read);
    socket.exceptionHandler(e -> count(Counter.PEER_WORDS_UNREAD));
  }

  /** The result is its port. */
  public Future<Integer> listen(String host, int port) {
    return socket.listen(port, host).map(bound -> bound.localAddress().port());
  }

  private void read(DatagramPacket packet) {
    SocketAddress sender = packet.sender();
    byte[] bytes = packet.data().getBytes();
    if (!reach.covers(sender.hostAddress(), sender.port())) {
      count(Counter.PEER_WORDS_FOREIGN);
    } else if (bytes.length > STANDARD_BYTES) {
      count(Counter.PEER_WORDS_HUGE);
    } else {
      try {
        GossipMessage word = GossipDecoder.read(bytes);
        if (isNew(bytes)) {
          events.accept(
              new Event.GossipReceived(
                  reach.asSeenHere(word, sender.hostAddress(), sender.port())));
        } else {
          count(Counter.PEER_WORDS_DOUBLE);
        }
      } catch (MalformedMessageException e) {
        count(e.why().count());
      }
    }
  }

  private boolean isNew(byte[] bytes) {
    long mark = Integer.toUnsignedLong(GossipDecoder.mark(bytes));
    if (Arrays.stream(heard).anyMatch(one -> one == mark)) {
      return false;
    }
    heard[next] = mark;
    next = (next + 1) % REMEMBERED;
    return true;
  }

  private void count(Counter what) {
    events.accept(new Event.ConditionCounted(what));
  }

  /** A word that is lost is not sent again: the next look tells what it told. */
  public void tell(Effect.SendGossip told) {
    GossipDecoder.Datagrams datagrams =
        GossipDecoder.write(told.word(), reach.mostBytes(), MOST_DATAGRAMS);
    if (datagrams.all().isEmpty()) {
      count(Counter.PEER_WORDS_UNSENT);
    }
    for (int i = 0; i < datagrams.leftOut(); i++) {
      count(Counter.PEER_NEWS_LEFT_OUT);
    }
    datagrams.all().forEach(bytes -> send(bytes, told.host(), told.port()));
  }

  /**
   * The one place that sends: a datagram over the bound ends a run on some platforms, so none
   * leaves whoever made it.
   */
  void send(byte[] bytes, String host, int port) {
    if (bytes.length > reach.mostBytes() || !reach.covers(host, port)) {
      count(Counter.PEER_WORDS_UNSENT);
      return;
    }
    socket.send(Buffer.buffer(bytes), port, host).onFailure(e -> count(Counter.PEER_WORDS_UNSENT));
  }

  public Future<Void> close() {
    return socket.close();
  }
}
