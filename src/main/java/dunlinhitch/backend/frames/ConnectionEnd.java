package dunlinhitch.backend.frames;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelOutputShutdownException;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.Locale;

/**
 * How a connection to a store ends, and whether that proves that the store has seen the end. This
 * side closes in two steps: it sends its end of stream, and waits for the store's, which comes only
 * after the store has read that far. A timeout, an unreachable host, or this side's own close prove
 * nothing.
 *
 * <p>Not thread-safe; its connection owns it on the event loop.
 */
final class ConnectionEnd {
  /** How long the store's end of stream is awaited; the file descriptor is held meanwhile. */
  private static final long STORE_END_TIMEOUT_MS = 1_000;

  private boolean closedHere;
  private boolean failedWithoutProof;

  /** Ends the connection at once; what is still to be written is dropped. */
  @SuppressWarnings("FutureReturnValueIgnored") // the channel's closeFuture reports the close
  void close(ChannelHandlerContext context) {
    closedHere = true;
    context.close();
  }

  /**
   * Sends the end of stream, without what is still to be written, and waits for that of the store.
   */
  @SuppressWarnings("FutureReturnValueIgnored") // the channel's closeFuture reports the close
  void closeAfterStore(Vertx vertx, ChannelHandlerContext context) {
    ((DuplexChannel) context.channel()).shutdownOutput();
    long timer = vertx.setTimer(STORE_END_TIMEOUT_MS, ignored -> close(context));
    context.channel().closeFuture().addListener(ignored -> vertx.cancelTimer(timer));
  }

  /** The connection has failed and closes because of it. */
  void onFailure(Throwable failure) {
    failedWithoutProof |= !provesEndAtStore(failure);
  }

  /**
   * A write has failed. Where the cause is not the network's the connection was closed already, or
   * its output was shut down.
   */
  void onWriteFailure(Throwable failure) {
    boolean closedBefore =
        failure instanceof ClosedChannelException
            || failure instanceof ChannelOutputShutdownException;
    if (failure instanceof IOException && !closedBefore) {
      onFailure(failure);
    }
  }

  /** After the connection has closed: whether the store is known to have ended it. */
  boolean isKnownToStore() {
    return !closedHere && !failedWithoutProof;
  }

  /** The operating system has no typed errors here: a reset is told by its message. */
  private static boolean provesEndAtStore(Throwable failure) {
    String message = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
    return message.contains("reset") || message.contains("broken pipe");
  }
}
