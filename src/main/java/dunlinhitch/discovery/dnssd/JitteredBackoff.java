package dunlinhitch.discovery.dnssd;

import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter. Immutable: the caller counts the consecutive failures.
 *
 * @param initialUs delay after the first failure, before jitter
 * @param maximumUs upper bound of the delay, before jitter
 * @param lowestFactor smallest factor that the jitter applies
 * @param factorRange width of the range from which the factor is drawn
 */
record JitteredBackoff(long initialUs, long maximumUs, double lowestFactor, double factorRange) {
  /** Maximum number of doublings, so that the delay does not overflow after many failures. */
  private static final int MAX_DOUBLINGS = 16;

  /**
   * Returns the delay after a failure that follows {@code earlierFailures} consecutive failures.
   * Draws one random number.
   */
  long delayUs(int earlierFailures, RandomGenerator random) {
    long baseUs = Math.min(maximumUs, initialUs << Math.min(MAX_DOUBLINGS, earlierFailures));
    return (long) (baseUs * (lowestFactor + factorRange * random.nextDouble()));
  }
}
