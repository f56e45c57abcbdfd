package dunlinhitch.experiments.testbed;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * Support for half-closed connections, which Vert.x lacks: the end of stream in one direction
 * leaves the other direction open, so that a proxy can forward each direction independently. Must
 * be used on the event loop.
 */
final class HalfClose {
  private HalfClose() {}

  /** Keeps the socket open when the peer ends its stream, and runs {@code task} at that time. */
  static void onInputEnd(NetSocket socket, Runnable task) {
    ChannelHandlerContext context = ((NetSocketInternal) socket).channelHandlerContext();
    context.channel().config().setOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    context
        .pipeline()
        .addBefore(
            context.name(),
            "half-close",
            new ChannelInboundHandlerAdapter() {
              @Override
              public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
                if (event instanceof ChannelInputShutdownEvent) {
                  task.run();
                } else {
                  ctx.fireUserEventTriggered(event);
                }
              }
            });
  }

  /** Sends the end of stream after all data that was written before. */
  @SuppressWarnings("FutureReturnValueIgnored") // no effect on a connection that is already closed
  static void endOutput(NetSocket socket) {
    ((DuplexChannel) ((NetSocketInternal) socket).channelHandlerContext().channel())
        .shutdownOutput();
  }
}
