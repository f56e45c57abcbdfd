package dunlinhitch.scoring;

import dunlinhitch.cluster.ReplicatedMapSettings;
import dunlinhitch.scoring.api.ScoringApi;

/**
 * Settings of the merge of the brokers' weights.
 *
 * @param halfLifeUs half-life of evidence in microseconds
 * @param evidenceMost maximum evidence of one broker's weight, in attempts
 * @param authorsLeast minimum number of origins with full evidence; what is missing counts as
 *     evidence for a weight of 1
 * @param trim share of the evidence that is trimmed at either end
 * @param tellStep how far the logarithm of an own weight moves before it is replicated again
 */
public record WeightRule(
    long halfLifeUs, double evidenceMost, int authorsLeast, double trim, double tellStep) {
  /** Clock skew between brokers that is tolerated, in microseconds. */
  private static final long SKEW_US = 2_000_000;

  /** Half-lives after which an entry expires. */
  private static final int EXPIRY_HALF_LIVES = 6;

  /** Capacity of the replicated map. */
  private static final int MAX_ENTRIES = 20_000;

  /** Capacity of the replicated map for the entries of one origin. */
  private static final int MAX_ENTRIES_PER_ORIGIN = 2_000;

  /** The settings of a broker. */
  public static final WeightRule STANDARD = new WeightRule(30_000_000, 64, 8, 0.125, 0.1);

  /** Validates the settings. */
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

  /** Settings of the map that replicates the weights. */
  ReplicatedMapSettings mapSettings() {
    return new ReplicatedMapSettings(
        EXPIRY_HALF_LIVES * halfLifeUs, SKEW_US, MAX_ENTRIES, MAX_ENTRIES_PER_ORIGIN);
  }

  /** The most that one broker, whatever it sends, moves the logarithm of a merged weight. */
  public double mostStep() {
    return Math.log(ScoringApi.MOST_FACTOR / ScoringApi.LEAST_FACTOR)
        / (authorsLeast * (1 - 2 * trim));
  }

  /** Evidence decayed by its age; a negative age counts as 0. */
  double faded(double evidence, long ageUs) {
    return evidence * Math.pow(0.5, Math.max(0, ageUs) / (double) halfLifeUs);
  }
}
