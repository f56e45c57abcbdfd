package dunlinhitch.scoring;

/**
 * Settings of a {@link CircuitBreaker}.
 *
 * @param baseBackoffUs backoff after the first failure; doubled after each further failure
 * @param maxBackoffUs upper bound of the backoff
 * @param successesPerRecovery number of consecutive valid rounds after which the count of failures
 *     is decremented
 * @param slowRoundsPerFailure number of consecutive slow rounds that count as a failure; a single
 *     slow round may be caused by the machine
 */
public record CircuitBreakerSettings(
    long baseBackoffUs, long maxBackoffUs, int successesPerRecovery, int slowRoundsPerFailure) {
  /**
   * The settings of a broker: backoffs from 2 s to 10 min, and about one minute of valid rounds
   * before the count of failures is decremented.
   */
  public static final CircuitBreakerSettings STANDARD =
      new CircuitBreakerSettings(2_000_000, 600_000_000, 240, 3);

  /** Validates the settings. */
  public CircuitBreakerSettings {
    if (baseBackoffUs <= 0
        || maxBackoffUs < baseBackoffUs
        || successesPerRecovery < 1
        || slowRoundsPerFailure < 1) {
      throw new IllegalArgumentException(
          "baseBackoffUs must be positive, maxBackoffUs at least baseBackoffUs, and"
              + " successesPerRecovery and slowRoundsPerFailure at least 1; got baseBackoffUs "
              + baseBackoffUs
              + ", maxBackoffUs "
              + maxBackoffUs
              + ", successesPerRecovery "
              + successesPerRecovery
              + ", slowRoundsPerFailure "
              + slowRoundsPerFailure);
    }
  }
}
