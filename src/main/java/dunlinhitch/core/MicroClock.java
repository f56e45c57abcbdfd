package dunlinhitch.core;

import java.util.function.LongSupplier;

/**
 * The one clock of a broker: microseconds that never run back, set once to Unix time, so that what
 * discovery says of a store's start is on the same scale.
 */
public final class MicroClock implements LongSupplier {
  private final long baseUs = System.currentTimeMillis() * 1000;
  private final long baseNanos = System.nanoTime();

  @Override
  public long getAsLong() {
    return baseUs + (System.nanoTime() - baseNanos) / 1000;
  }

  /**
   * Whole milliseconds from {@code nowUs} until {@code dueUs}, rounded up and at least 1: for
   * timers of the edges.
   */
  public static long timerMs(long nowUs, long dueUs) {
    return Math.max(1, (dueUs - nowUs + 999) / 1000);
  }
}
