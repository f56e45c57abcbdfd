package dunlinhitch.discovery;

import java.util.SplittableRandom;

/**
 * Exponential backoff with jitter between one attempt and the next. The jitter keeps brokers that
 * lost discovery at the same moment from returning at the same moment.
 *
 * <p>Pure and deterministic by its seed. Not thread-safe; its watch session owns it.
 */
final class Backoff {
  /** A delay is at least this share of its bound. */
  private static final double MIN_SHARE = 0.5;

  private final SplittableRandom random;

  /** Bound of the next delay where it is above the initial one; 0 after a reset. */
  private long nextBoundUs;

  /**
   * Bounds of the delays, in microseconds.
   *
   * @param initialUs the longest that the first delay may be
   * @param maximumUs the longest that any delay may be
   */
  record Bounds(long initialUs, long maximumUs) {}

  Backoff(long seed) {
    random = new SplittableRandom(seed);
  }

  /** The next delay in microseconds, within the bounds that apply now. */
  long nextDelayUs(Bounds bounds) {
    long boundUs = Math.min(bounds.maximumUs(), Math.max(nextBoundUs, bounds.initialUs()));
    nextBoundUs = 2 * boundUs;
    return jitteredUs(boundUs);
  }

  /** A random delay of at most {@code boundUs}, which leaves the backoff as it is. */
  long jitteredUs(long boundUs) {
    return (long) (boundUs * (MIN_SHARE + (1 - MIN_SHARE) * random.nextDouble()));
  }

  /** Starts again from the initial delay, after a success. */
  void reset() {
    nextBoundUs = 0;
  }
}
