package dunlinhitch.balancer;

import java.util.PriorityQueue;

/** A discrete-event clock for tests: runs scheduled actions in the order of their times. */
final class VirtualClock {
  private record ScheduledAction(long atUs, long sequence, Runnable action)
      implements Comparable<ScheduledAction> {
    @Override
    public int compareTo(ScheduledAction other) {
      return atUs != other.atUs
          ? Long.compare(atUs, other.atUs)
          : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
  private long nowUs;
  private long scheduled;

  long nowUs() {
    return nowUs;
  }

  /**
   * Schedules an action; a time in the past is replaced by the current time. Actions of equal time
   * run in the order of scheduling.
   */
  void schedule(long atUs, Runnable action) {
    queue.add(new ScheduledAction(Math.max(atUs, nowUs), scheduled, action));
    scheduled++;
  }

  /** Runs actions in order up to and including the first one at or after the given time. */
  void runUntil(long endUs) {
    while (nowUs < endUs && !queue.isEmpty()) {
      ScheduledAction next = queue.remove();
      nowUs = next.atUs;
      next.action.run();
    }
  }
}
