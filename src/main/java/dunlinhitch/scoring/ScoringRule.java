package dunlinhitch.scoring;

/**
 * Settings of the rounds of a scorer.
 *
 * @param weights how weights are merged
 * @param damping how factors are damped
 * @param roundUs mean time from round to round
 * @param endingsMost maximum number of attempts of an endpoint and query class that are retained
 *     for a round
 */
public record ScoringRule(WeightRule weights, DampingRule damping, long roundUs, int endingsMost) {
  /** The settings of a broker. */
  public static final ScoringRule STANDARD =
      new ScoringRule(WeightRule.STANDARD, DampingRule.STANDARD, 250_000, 64);

  /** Validates the settings. */
  public ScoringRule {
    if (roundUs <= 0 || endingsMost < 1) {
      throw new IllegalArgumentException(
          "a round takes a while and shows some endings: " + roundUs + ", " + endingsMost);
    }
  }
}
