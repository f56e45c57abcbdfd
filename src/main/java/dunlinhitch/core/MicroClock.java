package dunlinhitch.core;

import java.util.function.LongSupplier;

/**
 * The clock of a broker: monotonic microseconds, set once to Unix time so that the start times that
 * discovery reports are on the same scale. Thread-safe.
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
   * The delay for a timer of an edge, rounded up to whole milliseconds and at least 1.
   *
   * @param nowUs the present time, in microseconds
   * @param dueUs when the timer is to fire, in microseconds
   */
  public static long timerMs(long nowUs, long dueUs) {
    return Math.max(1, (dueUs - nowUs + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
  }
}
