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
 * The socket that clients connect to. Vert.x comes to it by its transport. It accepts on a thread
 * of its own, so it counts what is open and stops at a bound: a loop that is behind closes nothing,
 * and a process without a descriptor left loses more than connections. It may be a socket that
 * somebody else made and another process of this broker accepts from as well: nothing here binds
 * that one, shuts it down or closes it. The other process goes on with it, and with that channel
 * the JDK closes the descriptors that the log is written to.
 */
public final class ClientListener extends NioTransport implements Transport {
  private static final long LOOK_AFTER_MS = 5;

  /** Null: it is made by binding. */
  private final ServerSocketChannel handed;

  private final OpenResourceCounter<Accepted> open =
      new OpenResourceCounter<>(Accepted::isReleased);
  private volatile int most = Integer.MAX_VALUE;
  private volatile boolean leaving;
  private Accepting accepting;
  private boolean lending;

  /** {@code handed} null: it is made when it is listened on. */
  public ClientListener(ServerSocketChannel handed) {
    this.handed = handed;
  }

  /** True where another process may accept from it too. */
  public boolean isShared() {
    return handed != null;
  }

  /** Connections that were accepted and still have their descriptor. */
  public int open() {
    return open.count();
  }

  /** The one that this process was started with as descriptor 0. */
  public static ClientListener inherited() throws IOException {
    java.nio.channels.Channel channel = System.inheritedChannel();
    if (channel instanceof ServerSocketChannel listener) {
      return new ClientListener(listener);
    }
    throw new IOException("descriptor 0 is no listening socket");
  }

  /**
   * The server that {@code listen} starts accepts here, from the moment it is registered on, so
   * many at once.
   */
  <T> Future<T> lend(int bound, Supplier<Future<T>> listen) {
    most = bound;
    lending = true;
    return listen.get().onComplete(done -> lending = false);
  }

  /** Connections that wait are left to the other process from now on. */
  void stopAccepting() {
    leaving = true;
    if (accepting != null) {
      accepting.config().setAutoRead(false);
    }
  }

  /**
   * Lets in whoever waits in its queue, for to them they are connected, and closes it then; {@code
   * done} comes from its thread.
   */
  void close(Runnable done) {
    leaving = true;
    if (accepting == null || handed != null) {
      stopAccepting();
      done.run();
    } else {
      accepting.eventLoop().execute(() -> accepting.letInAndClose(done));
    }
  }

  @Override
  public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
    return lending
        ? () -> accepting = handed == null ? new Accepting() : new Accepting(handed)
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

  private static final class Accepted extends NioSocketChannel {
    Accepted(Channel parent, SocketChannel made) {
      super(parent, made);
    }

    /**
     * A closed channel keeps its descriptor until its selector has let go of it, which a loop that
     * is behind does late.
     */
    boolean isReleased() {
      return !javaChannel().isRegistered();
    }
  }

  private final class Accepting extends NioServerSocketChannel {
    private int letIn;

    Accepting() {
      // it is bound as any other
    }

    Accepting(ServerSocketChannel handed) {
      super(handed);
    }

    @Override
    protected int doReadMessages(List<Object> accepted) throws Exception {
      if (open() >= most) {
        config().setAutoRead(false);
        eventLoop().schedule(this::goOn, LOOK_AFTER_MS, TimeUnit.MILLISECONDS);
        return 0;
      }
      SocketChannel made = javaChannel().accept();
      if (made == null) {
        return 0;
      }
      Accepted child = new Accepted(this, made);
      open.opened();
      child.closeFuture().addListener(closed -> open.closed(child));
      accepted.add(child);
      letIn++;
      return 1;
    }

    private void letInAndClose(Runnable done) {
      int before;
      do {
        before = letIn;
        unsafe().read();
      } while (letIn > before);
      close().addListener(closed -> done.run());
    }

    private void goOn() {
      if (open() < most && !leaving) {
        config().setAutoRead(true);
      } else if (!leaving) {
        eventLoop().schedule(this::goOn, LOOK_AFTER_MS, TimeUnit.MILLISECONDS);
      }
    }

    @Override
    protected void doBind(SocketAddress address) throws Exception {
      if (handed == null) {
        super.doBind(address);
      }
    }

    @Override
    protected void doClose() throws Exception {
      if (handed == null) {
        super.doClose();
      } // else it is taken off its selector, and not this process's to close
    }
  }
}
