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
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A TCP proxy between one broker and one peer (a store or discovery) that injects the faults of
 * {@link NetworkFaults}. Bytes keep their order in each direction. A connection that lost bytes
 * stays open and stalled in the affected direction until {@link #resetStalled}, as in a partitioned
 * network.
 *
 * <p>Not thread-safe: all methods except the constructor must be called on the Vert.x event loop of
 * the proxy.
 */
public final class StreamProxy {
  /** Chunk size under a SLOW rule. */
  private static final int SLOW_CHUNK_BYTES = 7;

  /** One direction of one connection: a queue of chunks and the delay between them. */
  private final class Direction {
    private final String from;
    private final String to;
    private final NetSocket destination;
    private final NetSocket brokerSocket;
    private final Deque<Buffer> queue = new ArrayDeque<>();
    private boolean timerPending;
    private boolean stalled;
    private boolean held;
    private boolean sourceEnded;
    private boolean ended;
    private Direction opposite;

    Direction(String from, String to, NetSocket out, NetSocket broker) {
      this.from = from;
      this.to = to;
      this.destination = out;
      this.brokerSocket = broker;
    }

    void forward(Buffer bytes) {
      NetworkFaults.Rule rule = links.of(from, to);
      NetworkFaults.Harm harm = rule == null ? null : rule.harm();
      if (stalled || harm == NetworkFaults.Harm.LOST) {
        // After a loss, the stream delivers no further bytes until the connection is reset.
        stalled = true;
        stalledConnections.add(brokerSocket);
        return;
      }
      if (harm == NetworkFaults.Harm.RESET) {
        reset(Set.of(brokerSocket));
        return;
      }
      if (held || harm == NetworkFaults.Harm.HELD) {
        hold(bytes);
        return;
      }
      enqueue(bytes, harm == NetworkFaults.Harm.SLOW ? SLOW_CHUNK_BYTES : bytes.length());
      drainQueue(rule == null ? 0 : rule.ms());
    }

    private void enqueue(Buffer bytes, int chunkBytes) {
      for (int at = 0; at < bytes.length(); at += chunkBytes) {
        queue.add(bytes.getBuffer(at, Math.min(bytes.length(), at + chunkBytes)));
      }
    }

    private void hold(Buffer bytes) {
      held = true;
      queue.add(bytes);
      heldDirections.add(this);
    }

    void release() {
      held = false;
      drainQueue(0);
    }

    private void drainQueue(int ms) {
      if (timerPending || held) {
        return;
      }
      if (queue.isEmpty()) {
        if (sourceEnded) {
          endDestination();
        }
        return;
      }
      Buffer chunk = queue.poll();
      if (ms <= 0) {
        destination.write(chunk);
        drainQueue(0);
      } else {
        timerPending = true;
        vertx.setTimer(
            ms,
            t -> {
              timerPending = false;
              destination.write(chunk);
              drainQueue(ms);
            });
      }
    }

    /**
     * Called when the source has ended its stream, or when the connection to the source was lost.
     */
    void onSourceEnded() {
      sourceEnded = true;
      if (!stalled) {
        drainQueue(0);
      }
    }

    /** Forwards the end of stream; closes the connection once both directions have ended. */
    private void endDestination() {
      if (ended) {
        return;
      }
      ended = true;
      if (opposite.ended) {
        destination.close();
        opposite.destination.close();
      } else {
        HalfClose.endOutput(destination);
      }
    }
  }

  private final Vertx vertx;
  private final NetworkFaults links;
  private final String broker;
  private final String peer;
  private final int peerPort;
  private final NetServer server;
  private final NetClient client;

  /**
   * Broker-side sockets of the connections that lost bytes or that were never connected to the
   * peer.
   */
  private final Set<NetSocket> stalledConnections = new LinkedHashSet<>();

  private final Set<NetSocket> open = new LinkedHashSet<>();

  /** Directions whose bytes are held by a HELD rule. */
  private final Set<Direction> heldDirections = new LinkedHashSet<>();

  private int acceptedCount;

  /** Creates, for each new connection, an observer of the bytes that the broker sends. */
  private Supplier<Consumer<Buffer>> requestObservers = () -> bytes -> {};

  /**
   * Listens on a free loopback port.
   *
   * @param broker name of the broker that connects
   * @param peer name of the peer
   * @param peerPort loopback port of the peer
   */
  public StreamProxy(Vertx vertx, NetworkFaults links, String broker, String peer, int peerPort)
      throws Exception {
    this.vertx = vertx;
    this.links = links;
    this.broker = broker;
    this.peer = peer;
    this.peerPort = peerPort;
    client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(2_000));
    server = vertx.createNetServer().connectHandler(this::onConnect);
    server
        .listen(0, "127.0.0.1")
        .toCompletionStage()
        .toCompletableFuture()
        .get(5, TimeUnit.SECONDS);
  }

  /** Returns the loopback port to which the broker connects. */
  public int port() {
    return server.actualPort();
  }

  /** Returns the number of connections accepted from the broker so far. */
  public int acceptedCount() {
    return acceptedCount;
  }

  /** Returns the number of connections that the broker has open now. */
  public int open() {
    return open.size();
  }

  /** Sets the factory of observers of the bytes that the broker sends on each later connection. */
  public void observeRequests(Supplier<Consumer<Buffer>> observers) {
    requestObservers = observers;
  }

  /** Returns true while bytes are held by a HELD rule. */
  public boolean holdsBytes() {
    return !heldDirections.isEmpty();
  }

  /** Forwards the held bytes. Must be called after the HELD rule has been removed. */
  public void release() {
    Set<Direction> released = Set.copyOf(heldDirections);
    heldDirections.clear();
    released.forEach(Direction::release);
  }

  private void onConnect(NetSocket socket) {
    acceptedCount++;
    open.add(socket);
    socket.closeHandler(
        v -> {
          open.remove(socket);
          stalledConnections.remove(socket);
        });
    socket.exceptionHandler(e -> {});
    NetworkFaults.Rule rule = links.of(broker, peer);
    if (rule != null && rule.harm() == NetworkFaults.Harm.LOST) {
      // All traffic to the peer is lost, so the proxy does not connect to the peer. The broker's
      // connection stays open without an answer until it is reset.
      stalledConnections.add(socket);
      return;
    }
    socket.pause();
    client
        .connect(peerPort, "127.0.0.1")
        .onComplete(
            connected -> {
              if (connected.failed()) {
                socket.close();
                return;
              }
              NetSocket peerSocket = connected.result();
              Direction toPeer = new Direction(broker, peer, peerSocket, socket);
              Direction toBroker = new Direction(peer, broker, socket, socket);
              toPeer.opposite = toBroker;
              toBroker.opposite = toPeer;
              HalfClose.onInputEnd(socket, toPeer::onSourceEnded);
              HalfClose.onInputEnd(peerSocket, toBroker::onSourceEnded);
              peerSocket.exceptionHandler(e -> {});
              Consumer<Buffer> observer = requestObservers.get();
              socket.handler(
                  bytes -> {
                    observer.accept(bytes);
                    toPeer.forward(bytes);
                  });
              peerSocket.handler(toBroker::forward);
              socket.closeHandler(
                  v -> {
                    open.remove(socket);
                    stalledConnections.remove(socket);
                    toPeer.onSourceEnded();
                  });
              peerSocket.closeHandler(v -> toBroker.onSourceEnded());
              socket.resume();
            });
  }

  /** Resets the connections that lost bytes or that were never connected to the peer. */
  public void resetStalled() {
    reset(stalledConnections);
    stalledConnections.clear();
  }

  /** Resets all connections. */
  public void reset() {
    reset(open);
  }

  /** Closes the sockets with SO_LINGER 0, which sends RST instead of FIN. */
  private static void reset(Set<NetSocket> sockets) {
    for (NetSocket socket : Set.copyOf(sockets)) {
      try {
        ((NetSocketInternal) socket)
            .channelHandlerContext()
            .channel()
            .config()
            .setOption(ChannelOption.SO_LINGER, 0);
      } catch (ChannelException e) {
        continue; // the socket has already been closed by the other end
      }
      socket.close();
    }
  }

  /** Resets all connections and stops listening. */
  public void close() {
    reset();
    server.close();
    client.close();
  }
}
