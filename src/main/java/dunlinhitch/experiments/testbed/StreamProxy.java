package dunlinhitch.experiments.testbed;

import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOption;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Between one broker and one place that it connects to. What passes keeps its order in each
 * direction; a connection that met a loss stays open and silent that way until the proxy is told to
 * reset those, as one through a link that was cut does.
 */
public final class StreamProxy {
  private static final int PIECE = 7;

  /** One direction of one connection. */
  private final class Way {
    private final String from;
    private final String to;
    private final NetSocket out;
    private final NetSocket broker;
    private final Deque<Buffer> waiting = new ArrayDeque<>();
    private boolean busy;
    private boolean silent;
    private boolean ending;

    Way(String from, String to, NetSocket out, NetSocket broker) {
      this.from = from;
      this.to = to;
      this.out = out;
      this.broker = broker;
    }

    void pass(Buffer bytes) {
      Links.Rule rule = links.of(from, to);
      if (silent || (rule != null && rule.harm() == Links.Harm.LOST)) {
        silent = true;
        fellSilent.add(broker); // what was lost of a stream never comes, so nothing behind it does
        return;
      }
      if (rule != null && rule.harm() == Links.Harm.RESET) {
        reset(Set.of(broker));
        return;
      }
      int size = rule != null && rule.harm() == Links.Harm.SLOW ? PIECE : bytes.length();
      for (int at = 0; at < bytes.length(); at += size) {
        waiting.add(bytes.getBuffer(at, Math.min(bytes.length(), at + size)));
      }
      next(rule == null ? 0 : rule.ms());
    }

    private void next(int ms) {
      if (busy) {
        return;
      }
      if (waiting.isEmpty()) {
        if (ending) {
          out.close();
        }
        return;
      }
      Buffer piece = waiting.poll();
      if (ms <= 0) {
        out.write(piece);
        next(0);
      } else {
        busy = true;
        vertx.setTimer(
            ms,
            t -> {
              busy = false;
              out.write(piece);
              next(ms);
            });
      }
    }

    void end() {
      ending = true;
      if (!silent) {
        next(0);
      }
    }
  }

  private final Vertx vertx;
  private final Links links;
  private final String near;
  private final String far;
  private final int port;
  private final NetServer server;
  private final NetClient client;

  /** The broker's ends of connections that lost something. */
  private final Set<NetSocket> fellSilent = new LinkedHashSet<>();

  private final Set<NetSocket> open = new LinkedHashSet<>();
  private int opened;

  /** Listens on a port of its own on loopback; connects to {@code port} there. */
  public StreamProxy(Vertx vertx, Links links, String near, String far, int port) throws Exception {
    this.vertx = vertx;
    this.links = links;
    this.near = near;
    this.far = far;
    this.port = port;
    client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(2_000));
    server = vertx.createNetServer().connectHandler(this::accepted);
    server
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .get(5, TimeUnit.SECONDS);
  }

  public int port() {
    return server.actualPort();
  }

  /** Connections that the broker opened so far, and holds now. Of the proxy's loop. */
  public int opened() {
    return opened;
  }

  public int open() {
    return open.size();
  }

  private void accepted(NetSocket socket) {
    opened++;
    open.add(socket);
    socket.closeHandler(
        v -> {
          open.remove(socket);
          fellSilent.remove(socket);
        });
    socket.exceptionHandler(e -> {});
    Links.Rule rule = links.of(near, far);
    if (rule != null && rule.harm() == Links.Harm.LOST) {
      fellSilent.add(socket); // it never comes up, as far as one who asks can tell
      return;
    }
    socket.pause();
    client
        .connect(port, "127.0.0.1")
        .onComplete(
            made -> {
              if (made.failed()) {
                socket.close();
                return;
              }
              NetSocket there = made.result();
              Way forth = new Way(near, far, there, socket);
              Way back = new Way(far, near, socket, socket);
              there.exceptionHandler(e -> {});
              socket.handler(forth::pass);
              there.handler(back::pass);
              socket.closeHandler(
                  v -> {
                    open.remove(socket);
                    fellSilent.remove(socket);
                    forth.end();
                  });
              there.closeHandler(v -> back.end());
              socket.resume();
            });
  }

  /** Those that lost something, or never came up, are reset. */
  public void resetSilent() {
    reset(fellSilent);
    fellSilent.clear();
  }

  /** All connections are reset: without lingering a close is one. */
  public void reset() {
    reset(open);
  }

  private static void reset(Set<NetSocket> some) {
    for (NetSocket socket : Set.copyOf(some)) {
      try {
        ((NetSocketInternal) socket)
            .channelHandlerContext()
            .channel()
            .config()
            .setOption(ChannelOption.SO_LINGER, 0);
      } catch (ChannelException e) {
        continue; // the other end was quicker
      }
      socket.close();
    }
  }

  public void close() {
    reset();
    server.close();
    client.close();
  }
}
