package dunlinhitch.frontend.http;

import dunlinhitch.concurrent.OpenResourceCounter;
import io.netty.channel.ChannelFactory;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.vertx.core.Future;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.transport.Transport;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;

/**
 * The socket that clients connect to, provided to Vert.x as its transport. Connections are accepted
 * on a separate thread, which continues even while the event loop lags and closes no connections.
 * The listener therefore counts open connections and pauses at a bound, so that clients cannot
 * exhaust the file descriptors that the rest of the process needs.
 *
 * <p>The socket may be inherited, and another process of a hot restart may accept from it too. An
 * inherited socket is never bound, shut down or closed by this class: the other process continues
 * to use it, and closing the inherited channel would make the JDK close the descriptors that the
 * log is written to.
 */
public final class ClientListener extends NioTransport implements Transport {
  private static final long RETRY_ACCEPT_MS = 5;

  /**
   * Number of connections that are accepted between two pauses while the broker is crowded. Each
   * takes the place of another one, whose client may come again at once.
   */
  private static final int ACCEPTS_WHEN_CROWDED = 2;

  /**
   * Before the listener closes, it accepts all queued connections. At most this many accept
   * failures are ignored during that time.
   */
  private static final int MAX_FAILURES_AT_CLOSE = 64;

  /** Accepts the next queued connection; returns null if the queue is empty. */
  interface Acceptor {
    SocketChannel accept(ServerSocketChannel listener) throws IOException;
  }

  private final Acceptor acceptor;

  /** Null if the socket is created by binding. */
  private final ServerSocketChannel inheritedChannel;

  /**
   * Counts descriptors. A closed channel keeps its descriptor until the selector has deregistered
   * it, which is delayed if the event loop lags.
   */
  private final OpenResourceCounter<SocketChannel> open =
      new OpenResourceCounter<>(socket -> !socket.isRegistered());

  private volatile int maxOpen = Integer.MAX_VALUE;
  private volatile int crowdedOpen = Integer.MAX_VALUE;
  private volatile boolean stopped;
  private AcceptingChannel serverChannel;
  private boolean installing;

  /**
   * Creates a listener.
   *
   * @param inheritedChannel a listening socket, or null to create one when the server starts
   */
  public ClientListener(ServerSocketChannel inheritedChannel) {
    this(inheritedChannel, ServerSocketChannel::accept);
  }

  /** Creates a listener with a custom acceptor. */
  ClientListener(ServerSocketChannel inheritedChannel, Acceptor acceptor) {
    this.inheritedChannel = inheritedChannel;
    this.acceptor = acceptor;
  }

  /** Returns true if another process may accept from the same socket. */
  public boolean isShared() {
    return inheritedChannel != null;
  }

  /** Returns the number of accepted connections that still hold a file descriptor. */
  public int open() {
    return open.count();
  }

  /** Creates a listener on the socket that this process inherited as file descriptor 0. */
  public static ClientListener inherited() throws IOException {
    java.nio.channels.Channel channel = System.inheritedChannel();
    if (channel instanceof ServerSocketChannel listener) {
      return new ClientListener(listener);
    }
    throw new IOException("file descriptor 0 is not a listening socket");
  }

  /**
   * Runs {@code listen} and makes the server that it starts accept from this listener.
   *
   * @param maxConnections number of open connections at which accepting pauses
   * @param crowdedConnections number of open connections from which on only a few are accepted at a
   *     time
   */
  <T> Future<T> install(int maxConnections, int crowdedConnections, Supplier<Future<T>> listen) {
    maxOpen = maxConnections;
    crowdedOpen = crowdedConnections;
    installing = true;
    return listen.get().onComplete(done -> installing = false);
  }

  /** Stops accepting; queued connections are left to the other process. */
  void stopAccepting() {
    stopped = true;
    if (serverChannel != null) {
      serverChannel.config().setAutoRead(false);
    }
  }

  /**
   * Accepts the queued connections, whose clients are already connected, and closes the listener.
   *
   * @param done called when the listener is closed, on any thread
   */
  void close(Runnable done) {
    stopped = true;
    if (serverChannel == null || inheritedChannel != null) {
      stopAccepting();
      done.run();
    } else {
      serverChannel.eventLoop().execute(() -> serverChannel.acceptQueuedAndClose(done));
    }
  }

  @Override
  public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
    return installing
        ? () ->
            serverChannel =
                inheritedChannel == null
                    ? new AcceptingChannel()
                    : new AcceptingChannel(inheritedChannel)
        : super.serverChannelFactory(domainSocket);
  }

  @Override
  public IoHandlerFactory ioHandlerFactory() {
    return NioIoHandler.newFactory(
        SelectorProvider.provider(),
        () -> new ParkingSelectStrategy(System::nanoTime, LockSupport::parkNanos));
  }

  @Override
  public String name() {
    return "nio";
  }

  @Override
  public boolean available() {
    return true;
  }

  @Override
  public Throwable unavailabilityCause() {
    return null;
  }

  @Override
  public io.vertx.core.spi.transport.Transport implementation() {
    return this;
  }

  private final class AcceptingChannel extends NioServerSocketChannel {
    private int acceptedCount;
    private int acceptedSincePause;
    private int failureCount;

    AcceptingChannel() {
      // the channel is bound by doBind
    }

    AcceptingChannel(ServerSocketChannel inheritedChannel) {
      super(inheritedChannel);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      if (open() >= maxOpen) {
        pause();
        return 0;
      }
      SocketChannel socket;
      try {
        socket = acceptor.accept(javaChannel());
      } catch (IOException e) {
        // the queued client has disconnected, or the system is short of descriptors or memory; the
        // listener itself still works, so the pause is shorter than Netty's pause of one second
        failureCount++;
        pause();
        return 0;
      }
      if (socket == null) {
        return 0;
      }
      NioSocketChannel child = new NioSocketChannel(this, socket);
      open.opened();
      child.closeFuture().addListener(closed -> open.closed(socket));
      accepted.add(child);
      acceptedCount++;
      pauseIfCrowded();
      return 1;
    }

    private void pauseIfCrowded() {
      acceptedSincePause++;
      if (acceptedSincePause >= ACCEPTS_WHEN_CROWDED && open() >= crowdedOpen && !stopped) {
        pause();
      }
    }

    private void pause() {
      acceptedSincePause = 0;
      config().setAutoRead(false);
      scheduleResume();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the task handles its own failures
    private void scheduleResume() {
      eventLoop().schedule(this::resumeAccepting, RETRY_ACCEPT_MS, TimeUnit.MILLISECONDS);
    }

    private void acceptQueuedAndClose(Runnable done) {
      int countBefore;
      int failuresBefore;
      int failures = 0;
      do {
        countBefore = acceptedCount;
        failuresBefore = failureCount;
        unsafe().read();
        failures += failureCount - failuresBefore;
      } while (acceptedCount > countBefore
          || (failureCount > failuresBefore && failures < MAX_FAILURES_AT_CLOSE));
      close().addListener(closed -> done.run());
    }

    private void resumeAccepting() {
      if (open() < maxOpen && !stopped) {
        config().setAutoRead(true);
      } else if (!stopped) {
        scheduleResume();
      }
    }

    @Override
    protected void doBind(SocketAddress address) throws Exception {
      if (inheritedChannel == null) {
        super.doBind(address);
      }
    }

    @Override
    protected void doClose() throws Exception {
      if (inheritedChannel == null) {
        super.doClose();
      } // an inherited socket is only deregistered, because the other process continues to use it
    }
  }
}
