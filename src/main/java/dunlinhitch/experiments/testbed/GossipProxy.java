package dunlinhitch.experiments.testbed;

import io.vertx.core.Vertx;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Forwards gossip datagrams to one broker and applies the fault rules of {@link NetworkFaults}. The
 * sender of a datagram is recognised by its UDP source port.
 *
 * <p>The test bed owns the proxy; datagrams are handled on the Vert.x event loop.
 */
public final class GossipProxy {
  private final Vertx vertx;
  private final NetworkFaults links;
  private final String receiver;
  private final int receiverPort;
  private final DatagramSocket socket;
  private final Map<Integer, String> sendersByPort = new HashMap<>();
  private long forwarded;
  private long dropped;

  /**
   * Binds a free loopback port.
   *
   * @param receiver name of the broker that the datagrams are for
   * @param receiverPort UDP port on which that broker listens
   */
  public GossipProxy(Vertx vertx, NetworkFaults links, String receiver, int receiverPort)
      throws Exception {
    this.vertx = vertx;
    this.links = links;
    this.receiver = receiver;
    this.receiverPort = receiverPort;
    socket = vertx.createDatagramSocket().handler(this::onPacket);
    socket
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .get(5, TimeUnit.SECONDS);
  }

  /** Returns the UDP port to which the other brokers send. */
  public int port() {
    return socket.localAddress().port();
  }

  /**
   * Registers the source port of a broker, so that rules that name the broker apply to its
   * datagrams.
   */
  public void registerSender(String name, int senderPort) {
    vertx.runOnContext(v -> sendersByPort.put(senderPort, name));
  }

  /** Returns the number of datagrams forwarded so far. */
  public long forwarded() {
    return forwarded;
  }

  /** Returns the number of datagrams dropped so far because of a rule. */
  public long dropped() {
    return dropped;
  }

  private void onPacket(DatagramPacket packet) {
    String from = sendersByPort.getOrDefault(packet.sender().port(), "?");
    NetworkFaults.Rule rule = links.of(from, receiver);
    if (rule != null && rule.harm() == NetworkFaults.Harm.LOST) {
      dropped++;
      return;
    }
    forwarded++;
    if (rule != null && rule.ms() > 0) {
      vertx.setTimer(rule.ms(), t -> socket.send(packet.data(), receiverPort, "127.0.0.1"));
    } else {
      socket.send(packet.data(), receiverPort, "127.0.0.1");
    }
  }

  /** Closes the socket. */
  public void close() {
    socket.close();
  }
}
