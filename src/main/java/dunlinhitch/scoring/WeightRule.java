package dunlinhitch.scoring;

import dunlinhitch.cluster.ReplicatedMapSettings;
import dunlinhitch.scoring.api.ScoringApi;

/**
 * How weights of many brokers are merged.
 *
 * @param halfLifeUs in which evidence counts half
 * @param evidenceMost endings that one broker's word counts for at the most
 * @param authorsLeast full authors in all, at the least: where there are fewer, what is missing
 *     counts as saying 1
 * @param trim share of the evidence that is cut at either end
 * @param tellStep how far a weight's logarithm moves before it is told anew; else once in a quarter
 *     of the half-life
 */
public record WeightRule(
    long halfLifeUs, double evidenceMost, int authorsLeast, double trim, double tellStep) {
  /** The moment that a fact says is believed up to so far ahead of this broker's day clock. */
  private static final long SKEW_US = 2_000_000;

  private static final int LIVES = 6;
  private static final int MOST_FACTS = 20_000;
  private static final int MOST_OF_AUTHOR = 2_000;

  public static final WeightRule STANDARD = new WeightRule(30_000_000, 64, 8, 0.125, 0.1);

  public WeightRule {
    if (halfLifeUs <= 0
        || !(evidenceMost > 0)
        || authorsLeast < 1
        || !(trim >= 0 && trim < 0.5)
        || !(tellStep > 0)) {
      throw new IllegalArgumentException(
          "weights fade, count for something and are cut by less than half: "
              + halfLifeUs
              + ", "
              + evidenceMost
              + ", "
              + authorsLeast
              + ", "
              + trim
              + ", "
              + tellStep);
    }
  }

  ReplicatedMapSettings facts() {
    return new ReplicatedMapSettings(LIVES * halfLifeUs, SKEW_US, MOST_FACTS, MOST_OF_AUTHOR);
  }

  /** The furthest that one broker, whatever it says, moves the logarithm of a merged weight. */
  public double mostStep() {
    return Math.log(ScoringApi.MOST_FACTOR / ScoringApi.LEAST_FACTOR)
        / (authorsLeast * (1 - 2 * trim));
  }

  double faded(double evidence, long ageUs) {
    return evidence * Math.pow(0.5, Math.max(0, ageUs) / (double) halfLifeUs);
  }
}
