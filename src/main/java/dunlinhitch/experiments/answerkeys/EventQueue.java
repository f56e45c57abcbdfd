package dunlinhitch.experiments.answerkeys;

import java.util.PriorityQueue;

/**
 * The event queue of a simulation in virtual time. Events run in the order of their times; events
 * at the same time run in the order in which they were scheduled.
 */
final class EventQueue {
  private record Event(long atUs, long number, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.atUs() != other.atUs()
                  ? Long.compare(one.atUs(), other.atUs())
                  : Long.compare(one.number(), other.number()));
  private long nowUs;
  private long lastNumber;

  /** The current time in microseconds since the start. */
  long nowUs() {
    return nowUs;
  }

  void schedule(long atUs, Runnable task) {
    events.add(new Event(atUs, ++lastNumber, task));
  }

  /** Runs all events up to {@code endUs}, including events that other events schedule meanwhile. */
  void runUntil(long endUs) {
    while (!events.isEmpty()) {
      Event next = events.poll();
      if (next.atUs() > endUs) {
        return;
      }
      nowUs = next.atUs();
      next.task().run();
    }
  }
}
