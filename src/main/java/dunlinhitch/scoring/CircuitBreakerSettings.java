package dunlinhitch.scoring;

/**
 * Settings of a {@link CircuitBreaker}.
 *
 * @param baseBackoffUs backoff after the first failure; it doubles after each further one
 * @param maxBackoffUs upper bound of the backoff
 * @param successesPerRecovery valid rounds in a row that take one failure back
 * @param slowRoundsPerFailure slow rounds in a row that are a failure; a single one may be caused
 *     by the machine
 */
public record CircuitBreakerSettings(
    long baseBackoffUs, long maxBackoffUs, int successesPerRecovery, int slowRoundsPerFailure) {
  /** The settings of a broker: from 2 s to 10 min, and one minute of rounds for a recovery. */
  public static final CircuitBreakerSettings STANDARD =
      new CircuitBreakerSettings(2_000_000, 600_000_000, 240, 3);

  /** Validates the settings. */
  public CircuitBreakerSettings {
    if (baseBackoffUs <= 0
        || maxBackoffUs < baseBackoffUs
        || successesPerRecovery < 1
        || slowRoundsPerFailure < 1) {
      throw new IllegalArgumentException(
          "a scorer that failed waits, ever longer: "
              + baseBackoffUs
              + ", "
              + maxBackoffUs
              + ", "
              + successesPerRecovery
              + ", "
              + slowRoundsPerFailure);
    }
  }
}
