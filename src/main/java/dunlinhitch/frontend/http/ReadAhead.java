package dunlinhitch.frontend.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.impl.HttpServerConnection;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Goes on reading where Vert.x has paused: it reads nothing more of a client whose request waits
 * for its response, and so would not detect a disconnect behind pipelined bytes. What is received
 * meanwhile is buffered up to a bound; beyond that it is discarded, and the next response ends the
 * connection.
 *
 * <p>Used on the channel's event loop only.
 */
final class ReadAhead extends ChannelDuplexHandler {
  private static final String HANDLER_NAME = "readAhead";
  private static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** Reads in one turn of the event loop; Netty's default. */
  private static final int MAX_READS = 16;

  private final Deque<Object> buffered = new ArrayDeque<>();
  private final Runnable onFlooded;
  private int bufferedBytes;
  private boolean discarding;

  private ReadAhead(Runnable onFlooded) {
    this.onFlooded = onFlooded;
  }

  /**
   * Adds a handler in front of the decoder; to be called before {@link LingeringClose#install}.
   *
   * @param onFlooded called once, when the client has sent more than is buffered
   */
  static ReadAhead install(HttpConnection connection, Runnable onFlooded) {
    ChannelPipeline pipeline =
        ((HttpServerConnection) connection).channelHandlerContext().pipeline();
    ReadAhead handler = new ReadAhead(onFlooded);
    pipeline.addFirst(HANDLER_NAME, handler);
    // a read that does not fill its buffer must not end the turn: the disconnect of a client may
    // stand behind its request, and must be read before the request is handled
    pipeline
        .channel()
        .config()
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator()
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS));
    return handler;
  }

  /** True where bytes were received that Vert.x has not read. */
  boolean hasBufferedBytes() {
    return !buffered.isEmpty();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!discarding && buffered.isEmpty() && ctx.channel().config().isAutoRead()) {
      ctx.fireChannelRead(message);
      return;
    }
    bufferedBytes += message instanceof ByteBuf chunk ? chunk.readableBytes() : 0;
    if (discarding || bufferedBytes > MAX_BUFFERED_BYTES) {
      ReferenceCountUtil.release(message);
      releaseAll();
      if (!discarding) {
        discarding = true;
        onFlooded.run();
      }
    } else {
      buffered.add(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    ctx.fireChannelReadComplete();
    if (!ctx.channel().config().isAutoRead()) {
      ctx.read();
    }
  }

  /** Vert.x reads again: it first gets what is buffered, in a task of its own. */
  @Override
  public void read(ChannelHandlerContext ctx) {
    if (!buffered.isEmpty()) {
      ctx.executor().execute(() -> deliver(ctx));
    }
    ctx.read();
  }

  private void deliver(ChannelHandlerContext ctx) {
    while (!buffered.isEmpty() && ctx.channel().config().isAutoRead()) {
      Object message = buffered.poll();
      bufferedBytes -= message instanceof ByteBuf chunk ? chunk.readableBytes() : 0;
      ctx.fireChannelRead(message);
      ctx.fireChannelReadComplete();
    }
  }

  private void releaseAll() {
    buffered.forEach(ReferenceCountUtil::release);
    buffered.clear();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    releaseAll();
    ctx.fireChannelInactive();
  }
}
