package dunlinhitch.flow;

import io.netty.channel.Channel;
import io.netty.util.concurrent.FastThreadLocal;

/**
 * The budgets that all connections of one event loop share.
 *
 * @param scheduler divides the loop's time among the connections
 * @param memory bounds the memory of the connections' input
 */
public record FlowControl(FairScheduler scheduler, MemoryBudget memory) {
  private static final FastThreadLocal<FlowControl> OF_LOOP = new FastThreadLocal<>();

  /** Returns the budgets of the event loop of a channel; called on that loop. */
  public static FlowControl of(Channel channel) {
    if (!OF_LOOP.isSet()) {
      OF_LOOP.set(new FlowControl(new FairScheduler(channel.eventLoop()), new MemoryBudget()));
    }
    return OF_LOOP.get();
  }
}
