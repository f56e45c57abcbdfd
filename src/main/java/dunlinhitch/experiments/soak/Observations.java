package dunlinhitch.experiments.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongFunction;

/** The observations of one run, with times of one monotonic clock. Thread-safe. */
final class Observations {
  private static final long NANOS_PER_MICRO = 1_000;

  private final List<Observation> list = new ArrayList<>();
  private final long startNanos = System.nanoTime();

  /** Adds the observation that the function creates for the current time in microseconds. */
  synchronized void add(LongFunction<Observation> observation) {
    list.add(observation.apply((System.nanoTime() - startNanos) / NANOS_PER_MICRO));
  }

  synchronized List<Observation> list() {
    return List.copyOf(list);
  }
}
