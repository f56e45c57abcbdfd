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
 * Reads on where Vert.x has stopped: a client that sends more behind a request that waits is not
 * read by Vert.x until that is answered, and so nobody saw that the client had left. What comes
 * meanwhile is held here, so much at most; beyond that it is discarded, and the connection ends by
 * its next answer.
 */
final class ReadAhead extends ChannelDuplexHandler {
  private static final String PLACE = "readAhead";
  private static final int MOST_BYTES = 64 * 1024;

  /** In one go, as Netty does by itself. */
  private static final int MOST_READS = 16;

  private final Deque<Object> held = new ArrayDeque<>();
  private final Runnable flooded;
  private int bytes;
  private boolean discarding;

  private ReadAhead(Runnable flooded) {
    this.flooded = flooded;
  }

  /** Before the decoder, and behind what stands first. {@code flooded}: what came was too much. */
  static ReadAhead install(HttpConnection connection, Runnable flooded) {
    ChannelPipeline pipeline =
        ((HttpServerConnection) connection).channelHandlerContext().pipeline();
    ReadAhead made = new ReadAhead(flooded);
    pipeline.addFirst(PLACE, made);
    // a read that fills no buffer is not taken for the last: behind a request that has waited
    // stands its client's end, and the
    // turn that would send for it comes before the next look at the socket
    pipeline
        .channel()
        .config()
        .setRecvByteBufAllocator(
            new AdaptiveRecvByteBufAllocator()
                .respectMaybeMoreData(false)
                .maxMessagesPerRead(MOST_READS));
    return made;
  }

  boolean holdsAny() {
    return !held.isEmpty();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!discarding && held.isEmpty() && ctx.channel().config().isAutoRead()) {
      ctx.fireChannelRead(message);
      return;
    }
    bytes += message instanceof ByteBuf more ? more.readableBytes() : 0;
    if (discarding || bytes > MOST_BYTES) {
      ReferenceCountUtil.release(message);
      drop();
      if (!discarding) {
        discarding = true;
        flooded.run();
      }
    } else {
      held.add(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    ctx.fireChannelReadComplete();
    if (!ctx.channel().config().isAutoRead()) {
      ctx.read();
    }
  }

  /** Vert.x reads on: it is given what was held first, in a task of its own. */
  @Override
  public void read(ChannelHandlerContext ctx) {
    if (!held.isEmpty()) {
      ctx.executor().execute(() -> deliver(ctx));
    }
    ctx.read();
  }

  private void deliver(ChannelHandlerContext ctx) {
    while (!held.isEmpty() && ctx.channel().config().isAutoRead()) {
      Object message = held.poll();
      bytes -= message instanceof ByteBuf more ? more.readableBytes() : 0;
      ctx.fireChannelRead(message);
      ctx.fireChannelReadComplete();
    }
  }

  private void drop() {
    held.forEach(ReferenceCountUtil::release);
    held.clear();
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    drop();
    ctx.fireChannelInactive();
  }
}
