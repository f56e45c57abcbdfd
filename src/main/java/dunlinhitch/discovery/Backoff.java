package dunlinhitch.discovery;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter. The jitter keeps brokers that lost discovery at the same time
 * from reconnecting at the same time.
 *
 * <p>The delays depend only on the seed and on the sequence of calls. Not thread-safe; owned by its
 * watch session.
 */
final class Backoff {
  /** Smallest delay, as a share of its upper bound. */
  private static final double MIN_SHARE = 0.5;

  private final SplittableRandom random;

  /** Upper bound of the next delay before {@link Bounds} are applied; 0 after a reset. */
  private long nextBoundUs;

  /**
   * Bounds of the delays, in microseconds.
   *
   * @param initialUs upper bound of the first delay
   * @param maximumUs upper bound of all delays
   */
  record Bounds(long initialUs, long maximumUs) {}

  Backoff(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Returns the next delay in microseconds, within the given bounds. */
  long nextDelayUs(Bounds bounds) {
    long boundUs = Math.min(bounds.maximumUs(), Math.max(nextBoundUs, bounds.initialUs()));
    nextBoundUs = 2 * boundUs;
    return jitteredUs(boundUs);
  }

  /** Returns a random delay of at most {@code boundUs} without changing the backoff state. */
  long jitteredUs(long boundUs) {
    return (long) (boundUs * (MIN_SHARE + (1 - MIN_SHARE) * random.nextDouble()));
  }

  /** Restarts from the initial delay after a success. */
  void reset() {
    nextBoundUs = 0;
  }
}
