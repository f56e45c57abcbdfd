package dunlinhitch.scoring.host;

import dunlinhitch.scoring.CircuitBreakerSettings;

/**
 * Limits on the resources that a scorer may use.
 *
 * @param round limits of one round
 * @param loadTimeoutUs time limit for locating, loading and initializing a scorer
 * @param maxAbandonedThreads maximum number of abandoned threads that are still running; once it is
 *     reached, no further scorer is loaded
 * @param mailboxCapacity capacity of the queue of messages; further messages are dropped and
 *     counted
 * @param circuitBreaker backoff after failures
 */
public record HostLimits(
    RoundLimits round,
    long loadTimeoutUs,
    int maxAbandonedThreads,
    int mailboxCapacity,
    CircuitBreakerSettings circuitBreaker) {
  /**
   * Limits of one round.
   *
   * @param cpuTimeUs processor time above which a round counts as slow
   * @param timeoutUs time limit of a call
   * @param allocatedBytes maximum number of bytes that a round may allocate
   */
  public record RoundLimits(long cpuTimeUs, long timeoutUs, long allocatedBytes) {}

  /** The default limits of a broker. */
  public static final HostLimits STANDARD =
      new HostLimits(
          new RoundLimits(20_000, 1_000_000, 8 << 20),
          5_000_000,
          2,
          10_000,
          CircuitBreakerSettings.STANDARD);
}
