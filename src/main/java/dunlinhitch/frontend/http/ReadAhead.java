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
 * Continues to read while Vert.x has paused reading. Vert.x pauses while a request waits for its
 * response, and would therefore not detect that the client disconnects after pipelined bytes. Bytes
 * that are received during the pause are buffered up to a bound. Above the bound they are
 * discarded, and the next response closes the connection.
 *
 * <p>Used on the channel's event loop only.
 */
final class ReadAhead extends ChannelDuplexHandler {
  private static final String HANDLER_NAME = "readAhead";
  private static final int MAX_BUFFERED_BYTES = 64 * 1024;

  /** Maximum number of reads in one iteration of the event loop; Netty's default. */
  private static final int MAX_READS = 16;

  private final Deque<Object> buffered = new ArrayDeque<>();
  private final Runnable onFlooded;
  private int bufferedBytes;
  private boolean discarding;

  private ReadAhead(Runnable onFlooded) {
    this.onFlooded = onFlooded;
  }

  /**
   * Adds a handler in front of the decoder; must be called before {@link LingeringClose#install}.
   *
   * @param onFlooded called once, when the client has sent more than the bound
   */
  static ReadAhead install(HttpConnection connection, Runnable onFlooded) {
    ChannelPipeline pipeline =
        ((HttpServerConnection) connection).channelHandlerContext().pipeline();
    ReadAhead handler = new ReadAhead(onFlooded);
    pipeline.addFirst(HANDLER_NAME, handler);
    // a read that does not fill its buffer must not end the read loop: a client's disconnect may
    // follow its request, and must be read before the request is handled
    pipeline
        .channel()
        .config()
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator()
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MAX_READS));
    return handler;
  }

  /** True if bytes were received that Vert.x has not read. */
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

  /** Called when Vert.x reads again: buffered bytes are delivered first, in a separate task. */
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
