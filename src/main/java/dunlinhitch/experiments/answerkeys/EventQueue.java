package dunlinhitch.experiments.answerkeys;

import java.util.PriorityQueue;

/** Virtual time: events run in the order of their moments, and of their scheduling within one. */
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

  /** The present moment in µs since the start. */
  long nowUs() {
    return nowUs;
  }

  void schedule(long atUs, Runnable task) {
    events.add(new Event(atUs, ++lastNumber, task));
  }

  /** Runs all events up to that moment, also those that they schedule. */
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
