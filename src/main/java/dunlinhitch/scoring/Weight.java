package dunlinhitch.scoring;

import dunlinhitch.scoring.api.ScoringApi;

/**
 * What one broker says of a store and class, as it rides on words.
 *
 * @param value from 1/4 to 4
 * @param evidence endings behind it, faded up to the fact's moment
 * @param startedMs which life of the store it was seen of
 */
public record Weight(double value, double evidence, long startedMs) {
  /**
   * False for what no sound broker says; written so that what is no number is not believed either.
   */
  boolean believable(WeightRule rule) {
    return value >= ScoringApi.LEAST_FACTOR
        && value <= ScoringApi.MOST_FACTOR
        && evidence > 0
        && evidence <= rule.evidenceMost()
        && startedMs >= 0;
  }
}
