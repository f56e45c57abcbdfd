package dunlinhitch.experiments.testbed;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The clock and the scheduled tasks of a simulated cluster. Tasks run in the order of their times;
 * tasks with equal times run in the order in which they were scheduled. Not thread-safe; each
 * simulation owns one instance.
 */
final class VirtualTime {
  private record Task(long atUs, long sequence, Runnable action) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingLong(Task::atUs).thenComparingLong(Task::sequence));
  private long nowUs;
  private long lastSequence;

  /** The current time in microseconds since the start. */
  long nowUs() {
    return nowUs;
  }

  /** Schedules a task. A task whose time has already passed runs at the current time. */
  void at(long atUs, Runnable action) {
    tasks.add(new Task(atUs, ++lastSequence, action));
  }

  /** Runs all tasks that are due by {@code untilUs}, including those that these tasks schedule. */
  void playTo(long untilUs) {
    while (!tasks.isEmpty() && tasks.peek().atUs() <= untilUs) {
      Task task = tasks.poll();
      nowUs = Math.max(nowUs, task.atUs());
      task.action().run();
    }
    nowUs = untilUs;
  }
}
