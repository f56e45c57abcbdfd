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
 * Stands first on a client's connection, next to the socket, and turns every close by the broker,
 * whoever asks for it, into a lingering one: what was written goes out, the output is shut down,
 * and what still comes is read and discarded until the client ends or a bound is reached. A close
 * over unread bytes resets the connection, and takes the answer that the client has not read with
 * it; and nothing that comes behind a close may reach the decoder. What the client ends itself is
 * closed by Netty at once.
 */
final class LingeringClose extends ChannelDuplexHandler {
  private static final String PLACE = "lingeringClose";
  private static final int MOST_BYTES = 256 * 1024;
  private static final byte[] REFUSED =
      ("HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\ncontent-type: text/plain\r\n"
              + "content-length: 8\r\n\r\nrefused\n")
          .getBytes(StandardCharsets.US_ASCII);

  /** What is told of the connection, and asked for it. */
  interface Watch {
    /** Bytes have come; they are passed on after this. */
    void came();

    /** The broker closes it. */
    void closing();

    /** Its socket is closed, whoever did that. */
    void closed();

    /** How long it may linger; 0: it does not. */
    long lingerMs();
  }

  private final Watch watch;
  private final LongSupplier clock;
  private ChannelHandlerContext context;
  private boolean closing;
  private int discarded;
  private int unwritten;
  private long stalledUs = Long.MAX_VALUE;
  private io.netty.util.concurrent.Future<?> timer;

  private LingeringClose(Watch watch, LongSupplier clock) {
    this.watch = watch;
    this.clock = clock;
  }

  static LingeringClose install(HttpConnection connection, Watch watch, LongSupplier clock) {
    LingeringClose made = new LingeringClose(watch, clock);
    ((HttpServerConnection) connection).channelHandlerContext().pipeline().addFirst(PLACE, made);
    return made;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    ctx.channel()
        .closeFuture()
        .addListener(
            closed -> watch.closed()); // channelInactive is a task of its own, behind what waits
  }

  /**
   * Since when something has waited to be written and nothing was; Long.MAX_VALUE: nothing waits.
   */
  long stalledUs() {
    return stalledUs;
  }

  /** Reads what the socket holds, now: with nothing there it changes nothing. */
  void readOnce() {
    if (context.channel().unsafe() instanceof AbstractNioChannel.NioUnsafe socket
        && context.channel().isActive()) {
      socket.read();
    }
  }

  /**
   * Tells no to a request of which not even the head is whole, past the encoder: no answer is under
   * way.
   */
  void refuse() {
    context.write(Unpooled.wrappedBuffer(REFUSED), context.newPromise());
    close(context, context.newPromise());
  }

  /** Closes it as it is. */
  void cut() {
    context.close();
  }

  @Override
  public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    if (unwritten++ == 0) {
      stalledUs = clock.getAsLong();
    }
    ctx.write(message, promise.unvoid())
        .addListener(done -> stalledUs = --unwritten == 0 ? Long.MAX_VALUE : clock.getAsLong());
  }

  @Override
  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
    if (closing) {
      ctx.channel().closeFuture().addListener(closed -> promise.trySuccess());
      return;
    }
    closing = true;
    watch.closing();
    long lingerMs = watch.lingerMs();
    if (lingerMs <= 0 || !ctx.channel().isActive()) {
      ctx.close(promise);
      return;
    }
    ctx.channel().closeFuture().addListener(closed -> promise.trySuccess());
    timer = ctx.executor().schedule(this::cut, lingerMs, TimeUnit.MILLISECONDS);
    ctx.writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            written -> {
              if (written.isSuccess() && ctx.channel().isActive()) {
                ((DuplexChannel) ctx.channel())
                    .shutdownOutput()
                    .addListener(shut -> goOn(shut.isSuccess()));
              } else {
                cut();
              }
            });
  }

  private void goOn(boolean halfClosed) {
    if (halfClosed) {
      context.read();
    } else {
      cut();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    if (!closing) {
      watch.came();
      ctx.fireChannelRead(message);
      return;
    }
    discarded += message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    ReferenceCountUtil.release(message);
    if (discarded > MOST_BYTES) {
      cut();
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (!closing) {
      ctx.fireChannelReadComplete();
    } else if (ctx.channel().isActive()) {
      ctx.read(); // whether Vert.x had paused it or not
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
    if (!(event instanceof ChannelOutputShutdownEvent)) {
      ctx.fireUserEventTriggered(event);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable e) {
    if (closing) {
      cut(); // the client did not want to hear the rest
    } else {
      ctx.fireExceptionCaught(e);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (timer != null) {
      timer.cancel(false);
    }
    ctx.fireChannelInactive();
  }
}
