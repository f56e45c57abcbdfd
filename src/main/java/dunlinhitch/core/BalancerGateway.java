package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.LoadBalancer;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The reducer's access to the load balancer: one event at a time, and tasks that wait until the
 * present event is done with. Not thread-safe; the reducer owns it.
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

  /**
   * Sets the load balancer, which could not be made before the stages that carry out its actions.
   */
  void start(LoadBalancer started) {
    loadBalancer = started;
    deliver(new BalancerEvent.Started());
  }

  /**
   * Delivers an event, then runs what was postponed. A fault in the load balancer must not end the
   * broker, so that any exception is counted and logged; what it leaves open ends at its deadline.
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
    context.log("fault in the decisions: " + fault + (trace.length > 0 ? " at " + trace[0] : ""));
  }

  /** Delivers an event now, or after the one that is being delivered. */
  void deliverWhenIdle(BalancerEvent event) {
    runWhenIdle(() -> deliver(event));
  }

  /** Runs a task now, or after the event that is being delivered. */
  void runWhenIdle(Runnable task) {
    if (delivering) {
      postponedTasks.add(task);
    } else {
      task.run();
    }
  }

  /** Runs a task after the event that is being delivered; to be called from an action only. */
  void runAfterDelivery(Runnable task) {
    postponedTasks.add(task);
  }
}
