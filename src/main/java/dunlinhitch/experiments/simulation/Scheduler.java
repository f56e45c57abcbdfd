package dunlinhitch.experiments.simulation;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * A discrete-event scheduler on virtual time in microseconds. Tasks run in the order of their time
 * and, at equal times, in the order in which they were scheduled. Not thread-safe.
 */
final class Scheduler {
  private record ScheduledTask(long atUs, long order, Runnable task)
      implements Comparable<ScheduledTask> {
    @Override
    public int compareTo(ScheduledTask other) {
      return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<ScheduledTask> queue = new PriorityQueue<>();
  private long nowUs;
  private long order;
  private long steps;

  Scheduler(long startUs) {
    nowUs = startUs;
  }

  long now() {
    return nowUs;
  }

  /** Returns the number of tasks run so far. */
  long steps() {
    return steps;
  }

  void scheduleAt(long atUs, Runnable task) {
    queue.add(new ScheduledTask(Math.max(nowUs, atUs), ++order, task));
  }

  void scheduleAfter(long inUs, Runnable task) {
    scheduleAt(nowUs + Math.max(0, inUs), task);
  }

  /**
   * Runs all tasks that are due until {@code endUs}, as long as {@code mayContinue} returns true.
   */
  void runUntil(long endUs, BooleanSupplier mayContinue) {
    while (!queue.isEmpty() && queue.peek().atUs() <= endUs && mayContinue.getAsBoolean()) {
      ScheduledTask due = queue.poll();
      nowUs = due.atUs();
      steps++;
      due.task().run();
    }
    nowUs = Math.max(nowUs, endUs);
  }
}
