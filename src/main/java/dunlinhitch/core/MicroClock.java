package dunlinhitch.core;

import java.util.function.LongSupplier;

/**
 * The clock of a broker: monotonic microseconds, aligned with Unix time once at creation so that
 * start times reported by discovery are on the same scale. Thread-safe.
 */
public final class MicroClock implements LongSupplier {
  private static final long MICROS_PER_MILLI = 1000;
  private static final long NANOS_PER_MICRO = 1000;

  private final long baseUs = System.currentTimeMillis() * MICROS_PER_MILLI;
  private final long baseNanos = System.nanoTime();

  @Override
  public long getAsLong() {
    return baseUs + (System.nanoTime() - baseNanos) / NANOS_PER_MICRO;
  }

  /**
   * Returns the delay for an edge's timer in milliseconds, rounded up and at least 1.
   *
   * @param nowUs the current time, in microseconds
   * @param dueUs when the timer is to fire, in microseconds
   */
  public static long timerMs(long nowUs, long dueUs) {
    return Math.max(1, (dueUs - nowUs + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
  }
}
