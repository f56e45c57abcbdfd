package dunlinhitch.experiments.testbed;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetSocket;

/**
 * Half-closed connections, which Vert.x does not have: an end of stream in one direction leaves the
 * other one open, as a proxy must that passes on each direction for itself. Used on the event loop.
 */
final class HalfClose {
  private HalfClose() {}

  /** Keeps the socket open after its peer's end of stream, and runs the task then. */
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

  /** Sends the end of stream, behind what was written before. */
  @SuppressWarnings("FutureReturnValueIgnored") // a connection that is closed already has its end
  static void endOutput(NetSocket socket) {
    ((DuplexChannel) ((NetSocketInternal) socket).channelHandlerContext().channel())
        .shutdownOutput();
  }
}
