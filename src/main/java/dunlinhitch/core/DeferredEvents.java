package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import java.util.ArrayList;
import java.util.List;

/** Events that the load balancer is to receive in a later turn, in the order of their deferral. */
final class DeferredEvents {
  /**
   * How long a cancellation takes to reach any endpoint at most. The load balancer learns of the
   * attempt's end only then: at once, the part's next attempt could reach a near endpoint before
   * the cancellation reaches a far one, and two would be in flight.
   */
  private static final long CANCELLATION_DELAY_US = 5_000;

  private record Deferred(long atUs, BalancerEvent event) {}

  private final TurnContext context;
  private final List<Deferred> deferred = new ArrayList<>();

  DeferredEvents(TurnContext context) {
    this.context = context;
  }

  /** Defers an event by one tick. */
  void defer(BalancerEvent event) {
    deferred.add(new Deferred(context.nowUs() + context.settings().tickUs(), event));
  }

  /** Defers the end of a cancelled attempt until the cancellation has reached its endpoint. */
  void deferCancelled(BalancerEvent event) {
    long delayUs = Math.max(context.settings().tickUs(), CANCELLATION_DELAY_US);
    deferred.add(new Deferred(context.nowUs() + delayUs, event));
  }

  /** Removes and returns the events that are due. */
  List<BalancerEvent> takeDue(long nowUs) {
    List<Deferred> due = deferred.stream().filter(entry -> entry.atUs() <= nowUs).toList();
    deferred.removeAll(due);
    return due.stream().map(Deferred::event).toList();
  }

  /** When the next event is due, in microseconds; {@link Long#MAX_VALUE} for none. */
  long nextUs() {
    return deferred.stream().mapToLong(Deferred::atUs).min().orElse(Long.MAX_VALUE);
  }
}
