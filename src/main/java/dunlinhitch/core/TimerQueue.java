package dunlinhitch.core;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Timers of the reducer, fired in the order of their times; timers with equal times fire in the
 * order in which they were scheduled. Timers cannot be cancelled, so handlers must check that the
 * subject of a timer still exists. Owned by the reducer; not thread-safe.
 */
final class TimerQueue {
  /** The purpose of a timer, which determines the meaning of its identifier. */
  enum Kind {
    /** A timer of the load balancer; the identifier is its token. */
    BALANCER,
    /** The time limit of an attempt. */
    ATTEMPT,
    /** The time limit of a health check. */
    HEALTH_CHECK,
    /** The deadline of a query. */
    QUERY,
    /** The end of the overlap with another process; the identifier is its end time. */
    OVERLAP_END,
    /** The end of a query's first pass. */
    FIRST_PASS
  }

  /** Handles a timer that has fired. */
  interface Handler {
    void onTimer(Kind kind, long id);
  }

  private record Timer(long atUs, long sequence, Kind kind, long id) {}

  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>(Comparator.comparingLong(Timer::atUs).thenComparingLong(Timer::sequence));

  private long lastSequence;

  void schedule(long atUs, Kind kind, long id) {
    timers.add(new Timer(atUs, ++lastSequence, kind, id));
  }

  /**
   * Fires all due timers. Timers scheduled by a handler wait for the next turn, even if they are
   * already due.
   */
  void fireDue(long nowUs, Handler handler) {
    long lastSequenceBefore = lastSequence;
    List<Timer> scheduledByHandlers = new ArrayList<>();
    while (!timers.isEmpty() && timers.peek().atUs() <= nowUs) {
      Timer timer = timers.poll();
      if (timer.sequence() > lastSequenceBefore) {
        scheduledByHandlers.add(timer);
        continue;
      }
      handler.onTimer(timer.kind(), timer.id());
    }
    timers.addAll(scheduledByHandlers);
  }

  /**
   * Returns the time at which the next timer is due, in microseconds; {@link Long#MAX_VALUE} if
   * there is none.
   */
  long nextUs() {
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().atUs();
  }
}
