package dunlinhitch.backend.frames;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelOutputShutdownException;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.Locale;

/**
 * Closes a connection to a store and determines whether the store has provably ended the connection
 * too. An orderly close by this side has two steps: this side sends its end of stream, then waits
 * for the store's end of stream, which the store sends only after it has read everything that was
 * sent to it. A timeout, an unreachable host or a close by this side alone does not prove that the
 * store has ended the connection.
 *
 * <p>Not thread-safe; owned by its connection and used on the event loop only.
 */
final class ConnectionEnd {
  /**
   * Timeout for the store's end of stream; the file descriptor stays open while this side waits.
   */
  private static final long STORE_END_TIMEOUT_MS = 1_000;

  private boolean closedLocally;
  private boolean failed;
  private boolean failedWithoutProof;

  /** Closes the connection immediately; pending writes are dropped. */
  @SuppressWarnings("FutureReturnValueIgnored") // the channel's closeFuture reports the close
  void close(ChannelHandlerContext context) {
    closedLocally = true;
    context.close();
  }

  /** Sends the end of stream, dropping pending writes, and waits for the store's end of stream. */
  @SuppressWarnings("FutureReturnValueIgnored") // the channel's closeFuture reports the close
  void closeAfterStore(Vertx vertx, ChannelHandlerContext context) {
    ((DuplexChannel) context.channel()).shutdownOutput();
    long timer = vertx.setTimer(STORE_END_TIMEOUT_MS, ignored -> close(context));
    context.channel().closeFuture().addListener(ignored -> vertx.cancelTimer(timer));
  }

  /** Records a failure that closes the connection. */
  void onFailure(Throwable failure) {
    failed = true;
    failedWithoutProof |= !provesEndAtStore(failure);
  }

  /**
   * Records a failed write. Any failure other than a network error is ignored: it means that the
   * connection was already closed or its output shut down.
   */
  void onWriteFailure(Throwable failure) {
    boolean closedBefore =
        failure instanceof ClosedChannelException
            || failure instanceof ChannelOutputShutdownException;
    if (failure instanceof IOException && !closedBefore) {
      onFailure(failure);
    }
  }

  /**
   * Returns whether the store is known to have ended the connection. Must be called only after the
   * connection has closed.
   */
  boolean isKnownToStore() {
    return !closedLocally && !failedWithoutProof;
  }

  /**
   * Returns whether the store has sent its end of stream, so that nothing can follow what was
   * received. Must be called only after the connection has closed.
   */
  boolean isInOrder() {
    return !closedLocally && !failed;
  }

  /** The JDK has no exception type for a reset, so it is recognised by its message. */
  private static boolean provesEndAtStore(Throwable failure) {
    String message = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
    return message.contains("reset") || message.contains("broken pipe");
  }
}
