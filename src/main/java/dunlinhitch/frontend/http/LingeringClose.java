package dunlinhitch.frontend.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelOutputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The first handler of a client's channel, next to the socket. Converts every close by the broker
 * into a lingering close: pending writes are sent, the output is shut down, and bytes that still
 * arrive are read and discarded until the client closes or a bound is reached. A close with unread
 * bytes would reset the connection and could discard the response before the client has read it.
 * Bytes that arrive after a close must not reach the decoder. If the client closes the connection,
 * Netty closes it at once.
 *
 * <p>Used on the channel's event loop only.
 */
final class LingeringClose extends ChannelDuplexHandler {
  private static final String HANDLER_NAME = "lingeringClose";
  private static final int MAX_DISCARDED_BYTES = 256 * 1024;
  private static final byte[] REFUSAL =
      String.join(
              "\r\n",
              "HTTP/1.1 503 Service Unavailable",
              "connection: close",
              "content-type: text/plain",
              "content-length: 8",
              "",
              "refused\n")
          .getBytes(StandardCharsets.US_ASCII);

  /** Receives the events of the channel. */
  interface Listener {
    /** Called when bytes were received, before they are passed on. */
    void bytesReceived();

    /** Called when the broker starts to close the connection. */
    void halfClosing();

    /** Called when the socket is closed, by either side. */
    void closed();

    /**
     * Returns how long the connection may linger, in milliseconds; 0 or less to close it at once.
     */
    long lingerMs();
  }

  private final Listener listener;
  private final LongSupplier clock;
  private ChannelHandlerContext context;
  private boolean closing;
  private int discardedBytes;
  private int pendingWrites;
  private long writeStalledSinceUs = Long.MAX_VALUE;
  private io.netty.util.concurrent.Future<?> lingerTimer;

  private LingeringClose(Listener listener, LongSupplier clock) {
    this.listener = listener;
    this.clock = clock;
  }

  /** Adds a handler to the channel of a connection that was just accepted. */
  static LingeringClose install(HttpConnection connection, Listener listener, LongSupplier clock) {
    LingeringClose handler = new LingeringClose(listener, clock);
    ((HttpServerConnection) connection)
        .channelHandlerContext()
        .pipeline()
        .addFirst(HANDLER_NAME, handler);
    return handler;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    ctx.channel()
        .closeFuture()
        // Netty notifies this listener before the channelInactive task runs.
        .addListener(closed -> listener.closed());
  }

  /**
   * Returns the time since which pending writes have made no progress, in microseconds; {@link
   * Long#MAX_VALUE} if no write is pending.
   */
  long writeStalledSinceUs() {
    return writeStalledSinceUs;
  }

  /** Immediately reads the bytes that the socket has received, if any. */
  void readOnce() {
    if (context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket
        && context.channel().isActive()) {
      socket.read();
    }
  }

  /**
   * Refuses a request whose head is incomplete and closes the connection. The refusal bypasses the
   * encoder, which is safe because no response is in progress in this state.
   */
  @SuppressWarnings("FutureReturnValueIgnored") // no handling needed: the channel is closed next
  void refuse() {
    context.write(Unpooled.wrappedBuffer(REFUSAL), context.newPromise());
    close(context, context.newPromise());
  }

  /** Closes the connection without lingering. */
  @SuppressWarnings("FutureReturnValueIgnored") // the channel's closeFuture reports the close
  void abort() {
    context.close();
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (pendingWrites++ == 0) {
      writeStalledSinceUs = clock.getAsLong();
    }
    ctx.write(message, promise.unvoid())
        .addListener(
            done ->
                writeStalledSinceUs = --pendingWrites == 0 ? Long.MAX_VALUE : clock.getAsLong());
  }

  @Override
  @SuppressWarnings("FutureReturnValueIgnored") // the promise reports the close
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    if (closing) {
      ctx.channel().closeFuture().addListener(closed -> promise.trySuccess());
      return;
    }
    closing = true;
    listener.halfClosing();
    long lingerMs = listener.lingerMs();
    if (lingerMs <= 0 || !ctx.channel().isActive()) {
      ctx.close(promise);
      return;
    }
    ctx.channel().closeFuture().addListener(closed -> promise.trySuccess());
    lingerTimer = ctx.executor().schedule(this::abort, lingerMs, TimeUnit.MILLISECONDS);
    ctx.writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              if (written.isSuccess() && ctx.channel().isActive()) {
                ((DuplexChannel) ctx.channel())
                    .shutdownOutput()
                    .addListener(shutdown -> discardInput(shutdown.isSuccess()));
              } else {
                abort();
              }
            });
  }

  private void discardInput(boolean halfClosed) {
    if (halfClosed) {
      context.read();
    } else {
      abort();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!closing) {
      listener.bytesReceived();
      ctx.fireChannelRead(message);
      return;
    }
    discardedBytes += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    ReferenceCountUtil.release(message);
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      abort();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!closing) {
      ctx.fireChannelReadComplete();
    } else if (ctx.channel().isActive()) {
      // Input is read and discarded even if Vert.x has paused reading.
      ctx.read();
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (!(event instanceof ChannelOutputShutdownEvent)) {
      ctx.fireUserEventTriggered(event);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable error) {
    if (closing) {
      // The client has reset the connection while the broker was closing it.
      abort();
    } else {
      ctx.fireExceptionCaught(error);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (lingerTimer != null) {
      lingerTimer.cancel(false);
    }
    ctx.fireChannelInactive();
  }
}
