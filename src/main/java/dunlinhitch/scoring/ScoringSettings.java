package dunlinhitch.scoring;

/**
 * Settings of the rounds of a scorer.
 *
 * @param weights how weights are merged
 * @param damping how factors are damped
 * @param roundUs mean interval between rounds in microseconds
 * @param maxAttemptsPerRound maximum number of attempts of an endpoint and query class that are
 *     retained for a round
 */
public record ScoringSettings(
    WeightMergeSettings weights, DampingSettings damping, long roundUs, int maxAttemptsPerRound) {
  /** The default settings of a broker. */
  public static final ScoringSettings STANDARD =
      new ScoringSettings(WeightMergeSettings.STANDARD, DampingSettings.STANDARD, 250_000, 64);

  /** Validates the settings. */
  public ScoringSettings {
    if (roundUs <= 0 || maxAttemptsPerRound < 1) {
      throw new IllegalArgumentException(
          "roundUs must be positive and maxAttemptsPerRound at least 1; got roundUs "
              + roundUs
              + ", maxAttemptsPerRound "
              + maxAttemptsPerRound);
    }
  }
}
