package dunlinhitch.experiments.testbed;

import io.vertx.core.Vertx;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Before one broker's ear: all that others say to it passes here, each known by the port that it
 * speaks from.
 */
public final class WordProxy {
  private final Vertx vertx;
  private final Links links;
  private final String to;
  private final int port;
  private final DatagramSocket socket;
  private final Map<Integer, String> byPort = new HashMap<>();
  private long passed;
  private long lost;

  /** {@code port}: where the broker hears. */
  public WordProxy(Vertx vertx, Links links, String to, int port) throws Exception {
    this.vertx = vertx;
    this.links = links;
    this.to = to;
    this.port = port;
    socket = vertx.createDatagramSocket().handler(this::read);
    socket
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .get(5, TimeUnit.SECONDS);
  }

  public int port() {
    return socket.localAddress().port();
  }

  /** That broker speaks from that port. */
  public void speaks(String name, int from) {
    vertx.runOnContext(v -> byPort.put(from, name));
  }

  public long passed() {
    return passed;
  }

  public long lost() {
    return lost;
  }

  private void read(DatagramPacket packet) {
    String from = byPort.getOrDefault(packet.sender().port(), "?");
    Links.Rule rule = links.of(from, to);
    if (rule != null && rule.harm() == Links.Harm.LOST) {
      lost++;
      return;
    }
    passed++;
    if (rule != null && rule.ms() > 0) {
      vertx.setTimer(rule.ms(), t -> socket.send(packet.data(), port, "127.0.0.1"));
    } else {
      socket.send(packet.data(), port, "127.0.0.1");
    }
  }

  public void close() {
    socket.close();
  }
}
