package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.LoadBalancer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The reducer's access to the load balancer. Delivers one event at a time and postpones tasks until
 * the current event has been handled. Owned by the reducer; not thread-safe.
 */
final class BalancerGateway {
  private final TurnContext context;
  private final Counters counters;
  private final Deque<Runnable> postponedTasks = new ArrayDeque<>();
  private LoadBalancer loadBalancer;
  private boolean delivering;

  BalancerGateway(TurnContext context, Counters counters) {
    this.context = context;
    this.counters = counters;
  }

  /** Sets the load balancer, which is created after the stages that carry out its actions. */
  void start(LoadBalancer started) {
    loadBalancer = started;
    deliver(new BalancerEvent.Started());
  }

  /**
   * Delivers an event, then runs the postponed tasks. A fault in the load balancer must not
   * terminate the broker: any exception is counted and logged. Queries that remain open because of
   * the exception end at their deadlines.
   */
  void deliver(BalancerEvent event) {
    delivering = true;
    try {
      loadBalancer.on(context.nowUs(), event);
    } catch (RuntimeException e) {
      reportFault(e);
    } finally {
      delivering = false;
    }
    while (!delivering && !postponedTasks.isEmpty()) {
      postponedTasks.poll().run();
    }
  }

  private void reportFault(RuntimeException fault) {
    counters.add(Counter.FAULTS);
    StackTraceElement[] trace = fault.getStackTrace();
    context.log(
        "fault in the load balancer: " + fault + (trace.length > 0 ? " at " + trace[0] : ""));
  }

  /** Delivers an event now, or after the current delivery if one is in progress. */
  void deliverWhenIdle(BalancerEvent event) {
    runWhenIdle(() -> deliver(event));
  }

  /** Runs a task now, or after the current delivery if one is in progress. */
  void runWhenIdle(Runnable task) {
    if (delivering) {
      postponedTasks.add(task);
    } else {
      task.run();
    }
  }

  /**
   * Runs a task after the current delivery. Must be called only from an action of the load
   * balancer.
   */
  void runAfterDelivery(Runnable task) {
    postponedTasks.add(task);
  }
}
