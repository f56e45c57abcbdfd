package dunlinhitch.scoring;

import dunlinhitch.cluster.ReplicatedMapSettings;
import dunlinhitch.scoring.api.ScoringApi;

/**
 * Settings of the merge of the brokers' weights.
 *
 * @param halfLifeUs half-life of evidence in microseconds
 * @param maxEvidence maximum evidence of one broker's weight, in attempts
 * @param minOrigins the total evidence of a merge is at least this number times {@code
 *     maxEvidence}; if the reports of the origins have less in total, the difference counts as
 *     evidence for a weight of 1
 * @param trim fraction of the total evidence that is trimmed from the lowest weights, and also from
 *     the highest weights
 * @param updateThreshold this broker's own weight is replicated again if its logarithm has changed
 *     by at least this value
 */
public record WeightMergeSettings(
    long halfLifeUs, double maxEvidence, int minOrigins, double trim, double updateThreshold) {
  /** Clock skew between brokers that is tolerated, in microseconds. */
  private static final long SKEW_US = 2_000_000;

  /** Number of half-lives after which an entry expires. */
  private static final int EXPIRY_HALF_LIVES = 6;

  /** Capacity of the replicated map. */
  private static final int MAX_ENTRIES = 20_000;

  /** Capacity of the replicated map for the entries of one origin. */
  private static final int MAX_ENTRIES_PER_ORIGIN = 2_000;

  /** The default settings of a broker. */
  public static final WeightMergeSettings STANDARD =
      new WeightMergeSettings(30_000_000, 64, 8, 0.125, 0.1);

  /** Validates the settings. */
  public WeightMergeSettings {
    if (halfLifeUs <= 0
        || !(maxEvidence > 0)
        || minOrigins < 1
        || !(trim >= 0 && trim < 0.5)
        || !(updateThreshold > 0)) {
      throw new IllegalArgumentException(
          "halfLifeUs, maxEvidence and updateThreshold must be positive, minOrigins at least 1"
              + " and trim from 0 to below 0.5; got halfLifeUs "
              + halfLifeUs
              + ", maxEvidence "
              + maxEvidence
              + ", minOrigins "
              + minOrigins
              + ", trim "
              + trim
              + ", updateThreshold "
              + updateThreshold);
    }
  }

  /** Settings of the map that replicates the weights. */
  ReplicatedMapSettings mapSettings() {
    return new ReplicatedMapSettings(
        EXPIRY_HALF_LIVES * halfLifeUs, SKEW_US, MAX_ENTRIES, MAX_ENTRIES_PER_ORIGIN);
  }

  /**
   * Upper bound of the change of the logarithm of a merged weight that a single, possibly faulty
   * broker can cause.
   */
  public double maxInfluence() {
    return Math.log(ScoringApi.MOST_FACTOR / ScoringApi.LEAST_FACTOR)
        / (minOrigins * (1 - 2 * trim));
  }

  /** Evidence decayed by its age; a negative age counts as 0. */
  double decayed(double evidence, long ageUs) {
    return evidence * Math.pow(0.5, Math.max(0, ageUs) / (double) halfLifeUs);
  }
}
