package dunlinhitch.experiments.simulation;

import java.util.PriorityQueue;

/**
 * Virtual time: what is due runs in the order of its moment and, at one moment, of its setting.
 * Microseconds.
 */
final class Scheduler {
  private record Due(long atUs, long order, Runnable task) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      return atUs != other.atUs ? Long.compare(atUs, other.atUs) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Due> dues = new PriorityQueue<>();
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

  void at(long atUs, Runnable task) {
    dues.add(new Due(Math.max(nowUs, atUs), ++order, task));
  }

  void after(long inUs, Runnable task) {
    at(nowUs + Math.max(0, inUs), task);
  }

  /** Does all that is due by then; false where a step said to stop. */
  void until(long endUs, java.util.function.BooleanSupplier goOn) {
    while (!dues.isEmpty() && dues.peek().atUs() <= endUs && goOn.getAsBoolean()) {
      Due due = dues.poll();
      nowUs = due.atUs();
      steps++;
      due.task().run();
    }
    nowUs = Math.max(nowUs, endUs);
  }
}
