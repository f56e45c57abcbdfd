package dunlinhitch.frontend.http;

import dunlinhitch.concurrent.OpenResourceCounter;
import io.netty.channel.Channel;
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
 * The socket that clients connect to, made known to Vert.x as its transport. It accepts on a thread
 * of its own, so it counts open connections and pauses at a bound: an event loop that is behind
 * closes nothing, and a process without file descriptors loses more than connections.
 *
 * <p>The socket may be inherited, and another process of a hot restart may accept from it too. Such
 * a socket is never bound, shut down or closed here: the other process goes on with it, and with
 * the inherited channel the JDK would close the descriptors that the log is written to.
 */
public final class ClientListener extends NioTransport implements Transport {
  private static final long RETRY_ACCEPT_MS = 5;

  /** Failures of accept that are passed over while the queue is emptied before the close. */
  private static final int MAX_FAILURES_AT_CLOSE = 64;

  /** Takes the next queued connection; null where there is none. */
  interface Acceptor {
    SocketChannel accept(ServerSocketChannel listener) throws IOException;
  }

  private final Acceptor acceptor;

  /** Null where the socket is created by binding. */
  private final ServerSocketChannel inheritedChannel;

  private final OpenResourceCounter<AcceptedChannel> open =
      new OpenResourceCounter<>(AcceptedChannel::isReleased);
  private volatile int maxOpen = Integer.MAX_VALUE;
  private volatile boolean stopped;
  private AcceptingChannel serverChannel;
  private boolean installing;

  /**
   * Creates a listener.
   *
   * @param inheritedChannel a listening socket; null where one is to be created when the server
   *     starts
   */
  public ClientListener(ServerSocketChannel inheritedChannel) {
    this(inheritedChannel, ServerSocketChannel::accept);
  }

  /** Creates a listener that accepts by other means. */
  ClientListener(ServerSocketChannel inheritedChannel, Acceptor acceptor) {
    this.inheritedChannel = inheritedChannel;
    this.acceptor = acceptor;
  }

  /** True where another process may accept from the same socket. */
  public boolean isShared() {
    return inheritedChannel != null;
  }

  /** Accepted connections that still have their file descriptor. */
  public int open() {
    return open.count();
  }

  /** The listener on the socket that this process was started with as descriptor 0. */
  public static ClientListener inherited() throws IOException {
    java.nio.channels.Channel channel = System.inheritedChannel();
    if (channel instanceof ServerSocketChannel listener) {
      return new ClientListener(listener);
    }
    throw new IOException("descriptor 0 is no listening socket");
  }

  /**
   * Makes the server that {@code listen} starts accept from this listener.
   *
   * @param maxConnections how many connections may be open before accepting pauses
   */
  <T> Future<T> install(int maxConnections, Supplier<Future<T>> listen) {
    maxOpen = maxConnections;
    installing = true;
    return listen.get().onComplete(done -> installing = false);
  }

  /** Stops accepting: queued connections are left to the other process. */
  void stopAccepting() {
    stopped = true;
    if (serverChannel != null) {
      serverChannel.config().setAutoRead(false);
    }
  }

  /**
   * Accepts the queued connections, as their clients are connected already, and closes.
   *
   * @param done called at the end, on any thread
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

  private static final class AcceptedChannel extends NioSocketChannel {
    AcceptedChannel(Channel parent, SocketChannel socket) {
      super(parent, socket);
    }

    /**
     * True once the file descriptor is free: a closed channel keeps it until the selector has
     * deregistered it, which an event loop that is behind does late.
     */
    boolean isReleased() {
      return !javaChannel().isRegistered();
    }
  }

  private final class AcceptingChannel extends NioServerSocketChannel {
    private int acceptedCount;
    private int failureCount;

    AcceptingChannel() {
      // bound as any other channel
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
        // the client left its place in the queue, or the system is short of descriptors or memory:
        // the listener is sound, and Netty would pause it for a second
        failureCount++;
        pause();
        return 0;
      }
      if (socket == null) {
        return 0;
      }
      AcceptedChannel child = new AcceptedChannel(this, socket);
      open.opened();
      child.closeFuture().addListener(closed -> open.closed(child));
      accepted.add(child);
      acceptedCount++;
      return 1;
    }

    private void pause() {
      config().setAutoRead(false);
      scheduleResume();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the task handles its own failure
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
      } // an inherited socket is only deregistered, as the other process goes on with it
    }
  }
}
