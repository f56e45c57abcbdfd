package dunlinhitch.scoring;

/**
 * The figures of scoring.
 *
 * @param weights how weights merge
 * @param damping how factors follow
 * @param roundUs from round to round
 * @param endingsMost endings of a store and class that are kept for a round
 */
public record ScoringRule(WeightRule weights, DampingRule damping, long roundUs, int endingsMost) {
  public static final ScoringRule STANDARD =
      new ScoringRule(WeightRule.STANDARD, DampingRule.STANDARD, 250_000, 64);

  public ScoringRule {
    if (roundUs <= 0 || endingsMost < 1) {
      throw new IllegalArgumentException(
          "a round takes a while and shows some endings: " + roundUs + ", " + endingsMost);
    }
  }
}
