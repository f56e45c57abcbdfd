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
 * Sends and receives gossip messages over UDP. A datagram that cannot be decoded is dropped and
 * counted under the reason. Duplicates are dropped too, so that no message is answered twice. All
 * methods must be called on the event loop.
 */
public final class GossipSocket {
  /**
   * The default maximum size of a datagram in bytes, small enough not to be fragmented on common
   * links.
   */
  public static final int DEFAULT_MAX_BYTES = 1_200;

  /**
   * The maximum number of datagrams of one message. Updates that do not fit are disseminated by a
   * later message or by another broker.
   */
  static final int MAX_DATAGRAMS = 3;

  /**
   * The size of the socket's receive buffer, which holds bursts that arrive while the event loop is
   * busy.
   */
  private static final int RECEIVE_BUFFER_BYTES = 65_536;

  /**
   * The number of remembered checksums, enough for about 10 s of messages in a cluster of 100
   * brokers. A duplicate created by the network arrives within a much shorter time.
   */
  private static final int REMEMBERED_CHECKSUMS = 128;

  /**
   * The value of an unused slot in the ring buffer. Checksums are stored as unsigned numbers, so
   * none is negative.
   */
  private static final long NONE = -1;

  private final DatagramSocket socket;
  private final AddressBook addresses;
  private final Consumer<Event> events;

  /** The checksums of the last received datagrams, as unsigned numbers; a ring buffer. */
  private final long[] recentChecksums = new long[REMEMBERED_CHECKSUMS];

  private int nextSlot;

  /** Creates a socket, which receives and sends datagrams only after {@link #listen}. */
  public GossipSocket(Vertx vertx, AddressBook addresses, Consumer<Event> events) {
    this.addresses = addresses;
    this.events = events;
    Arrays.fill(recentChecksums, NONE);
    socket =
        vertx.createDatagramSocket(
            new DatagramSocketOptions().setReceiveBufferSize(RECEIVE_BUFFER_BYTES));
    socket.handler(this::onDatagram);
    socket.exceptionHandler(error -> count(Counter.GOSSIP_UNREADABLE));
  }

  /** Binds the socket; the result is the bound port. */
  public Future<Integer> listen(String host, int port) {
    return socket.listen(port, host).map(bound -> bound.localAddress().port());
  }

  private void onDatagram(DatagramPacket packet) {
    SocketAddress sender = packet.sender();
    byte[] bytes = packet.data().getBytes();
    if (!addresses.permits(sender.hostAddress(), sender.port())) {
      count(Counter.GOSSIP_FOREIGN);
    } else if (bytes.length > DEFAULT_MAX_BYTES) {
      count(Counter.GOSSIP_OVERSIZED);
    } else {
      try {
        GossipMessage message = GossipDecoder.decode(bytes);
        if (rememberNew(bytes)) {
          events.accept(
              new Event.GossipReceived(
                  addresses.withLocalAddresses(message, sender.hostAddress(), sender.port())));
        } else {
          count(Counter.GOSSIP_DUPLICATE);
        }
      } catch (MalformedMessageException e) {
        count(e.reason().counter());
      }
    }
  }

  /** Remembers the checksum of the datagram. Returns false if the datagram is a duplicate. */
  private boolean rememberNew(byte[] datagram) {
    long checksum = Integer.toUnsignedLong(WireFormat.readChecksum(datagram));
    if (Arrays.stream(recentChecksums).anyMatch(recent -> recent == checksum)) {
      return false;
    }
    recentChecksums[nextSlot] = checksum;
    nextSlot = (nextSlot + 1) % REMEMBERED_CHECKSUMS;
    return true;
  }

  private void count(Counter counter) {
    events.accept(new Event.ConditionCounted(counter));
  }

  /**
   * Sends a message. A lost message is not retransmitted, because later messages repeat its
   * updates.
   */
  public void send(Effect.SendGossip effect) {
    GossipEncoder.Datagrams datagrams =
        GossipEncoder.encode(effect.message(), addresses.maxDatagramBytes(), MAX_DATAGRAMS);
    if (datagrams.all().isEmpty()) {
      count(Counter.GOSSIP_UNSENT);
    }
    for (int i = 0; i < datagrams.omittedItems(); i++) {
      count(Counter.GOSSIP_UPDATES_OMITTED);
    }
    datagrams.all().forEach(bytes -> send(bytes, effect.host(), effect.port()));
  }

  /**
   * Sends one datagram. Drops it if the address is not permitted. Also drops a datagram that
   * exceeds the maximum size, because some platforms treat an oversized datagram as a fatal
   * violation.
   */
  void send(byte[] bytes, String host, int port) {
    if (bytes.length > addresses.maxDatagramBytes() || !addresses.permits(host, port)) {
      count(Counter.GOSSIP_UNSENT);
      return;
    }
    socket.send(Buffer.buffer(bytes), port, host).onFailure(error -> count(Counter.GOSSIP_UNSENT));
  }

  /** Closes the socket. */
  public Future<Void> close() {
    return socket.close();
  }
}
