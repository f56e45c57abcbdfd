package dunlinhitch.scoring.api;

/**
 * A scorer's output for one candidate.
 *
 * @param factor multiplier of its predicted work; limited to 1/4 to 4
 * @param weight the observations of this broker alone, replicated to the others; limited to 1/4 to
 *     4. Do not mix in {@link Candidate#fleet}: the others would count their own evidence again
 * @param evidence number of attempts behind the weight, decayed with age, never more than the
 *     candidate had; 0 if there is nothing to share
 */
public record Judgement(double factor, double weight, double evidence) {
  /** The neutral output, as without a scorer. */
  public static final Judgement NONE = new Judgement(1, 1, 0);

  /** A factor without a weight to share. */
  public static Judgement of(double factor) {
    return new Judgement(factor, 1, 0);
  }
}
