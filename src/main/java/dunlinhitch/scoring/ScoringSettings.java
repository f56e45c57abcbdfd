package dunlinhitch.scoring;

/**
 * Settings of the rounds of a scorer.
 *
 * @param weights how weights are merged
 * @param damping how factors are damped
 * @param roundUs mean time from round to round
 * @param maxAttemptsPerRound maximum number of attempts of an endpoint and query class that are
 *     retained for a round
 */
public record ScoringSettings(
    WeightMergeSettings weights, DampingSettings damping, long roundUs, int maxAttemptsPerRound) {
  /** The settings of a broker. */
  public static final ScoringSettings STANDARD =
      new ScoringSettings(WeightMergeSettings.STANDARD, DampingSettings.STANDARD, 250_000, 64);

  /** Validates the settings. */
  public ScoringSettings {
    if (roundUs <= 0 || maxAttemptsPerRound < 1) {
      throw new IllegalArgumentException(
          "a round takes a while and shows some endings: " + roundUs + ", " + maxAttemptsPerRound);
    }
  }
}
