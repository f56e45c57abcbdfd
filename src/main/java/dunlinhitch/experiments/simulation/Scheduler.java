package dunlinhitch.experiments.simulation;

import java.util.PriorityQueue;

/**
 * Virtual time: what is due runs in the order of its moment and, at one moment, of its setting.
 * Microseconds.
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

  /** Things done so far. */
  long steps() {
    return steps;
  }

  void scheduleAt(long atUs, Runnable task) {
    queue.add(new ScheduledTask(Math.max(nowUs, atUs), ++order, task));
  }

  void scheduleAfter(long inUs, Runnable task) {
    scheduleAt(nowUs + Math.max(0, inUs), task);
  }

  /** Does all that is due by then; false where a step said to stop. */
  void runUntil(long endUs, java.util.function.BooleanSupplier goOn) {
    while (!queue.isEmpty() && queue.peek().atUs() <= endUs && goOn.getAsBoolean()) {
      ScheduledTask due = queue.poll();
      nowUs = due.atUs();
      steps++;
      due.task().run();
    }
    nowUs = Math.max(nowUs, endUs);
  }
}
