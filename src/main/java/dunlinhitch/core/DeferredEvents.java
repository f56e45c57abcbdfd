package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import java.util.ArrayList;
import java.util.List;

/**
 * Events to be delivered to the load balancer in a later turn, in the order in which they were
 * deferred.
 */
final class DeferredEvents {
  private record Deferred(long atUs, BalancerEvent event) {}

  private final TurnContext context;
  private final List<Deferred> deferred = new ArrayList<>();

  DeferredEvents(TurnContext context) {
    this.context = context;
  }

  /** Defers an event; it is due one tick after the time of the current turn. */
  void defer(BalancerEvent event) {
    deferred.add(new Deferred(context.nowUs() + context.settings().tickUs(), event));
  }

  /** Removes and returns the events that are due. */
  List<BalancerEvent> takeDue(long nowUs) {
    List<Deferred> due = deferred.stream().filter(entry -> entry.atUs() <= nowUs).toList();
    deferred.removeAll(due);
    return due.stream().map(Deferred::event).toList();
  }

  /**
   * Returns the time at which the next event is due, in microseconds; {@link Long#MAX_VALUE} if
   * there is none.
   */
  long nextUs() {
    return deferred.stream().mapToLong(Deferred::atUs).min().orElse(Long.MAX_VALUE);
  }
}
