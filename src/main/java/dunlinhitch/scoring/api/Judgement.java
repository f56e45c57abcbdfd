package dunlinhitch.scoring.api;

/**
 * A scorer's output for one candidate.
 *
 * @param factor multiplier of the candidate's predicted work; clamped to the range from 1/4 to 4
 * @param weight weight derived from this broker's observations only, replicated to the other
 *     brokers; clamped to the range from 1/4 to 4. It must not include {@link Candidate#fleet},
 *     because the other brokers would then count their own evidence twice
 * @param evidence number of attempts that support the weight, decayed with age; limited to the
 *     number of attempts of the candidate. 0 if there is no weight to share
 */
public record Judgement(double factor, double weight, double evidence) {
  /** The neutral output, equivalent to having no scorer. */
  public static final Judgement NONE = new Judgement(1, 1, 0);

  /** A factor without a weight to share. */
  public static Judgement of(double factor) {
    return new Judgement(factor, 1, 0);
  }
}
