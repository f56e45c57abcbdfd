package dunlinhitch.scoring;

import dunlinhitch.scoring.api.ScoringApi;

/**
 * One broker's weight of an endpoint and query class, as replicated by gossip.
 *
 * @param value from {@link ScoringApi#LEAST_FACTOR} to {@link ScoringApi#MOST_FACTOR}
 * @param evidence number of attempts that support it, decayed up to the timestamp of the entry
 * @param startedMs incarnation of the endpoint: its start in Unix milliseconds, 0 if unknown
 */
public record Weight(double value, double evidence, long startedMs) {
  /**
   * False for values that no correct broker sends. Each comparison is written so that it fails for
   * NaN.
   */
  boolean isValid(WeightMergeSettings settings) {
    return value >= ScoringApi.LEAST_FACTOR
        && value <= ScoringApi.MOST_FACTOR
        && evidence > 0
        && evidence <= settings.maxEvidence()
        && startedMs >= 0;
  }
}
