package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

/**
 * The rules that a broker must keep.
 *
 * @param answerSlackUs time that an answer may come after its deadline
 * @param pollWithinUs time within which a changed server list must be read
 * @param retryRatio retries for each request received, below 0 where no retry budget is stated
 * @param retryBudgetFloor retries that are allowed in any case
 * @param retryRatioWindowUs sliding window over which the retry budget is counted
 * @param initialCapacityShare share of its capacity that a server has when it starts
 * @param slowStartDurationUs time until a server that has started has all its capacity
 * @param overloadFactor multiple of its capacity at which a warming server fails, 0 for never
 * @param overloadToleranceUs time for which it must be overloaded to fail
 * @param drainGraceUs time for which a draining server still takes parts
 */
public record Rules(
    long answerSlackUs,
    long pollWithinUs,
    double retryRatio,
    double retryBudgetFloor,
    long retryRatioWindowUs,
    double initialCapacityShare,
    long slowStartDurationUs,
    double overloadFactor,
    long overloadToleranceUs,
    long drainGraceUs) {
  /** Checks the ranges. */
  public Rules {
    atLeastZero("rules.answerSlackUs", (double) answerSlackUs);
    atLeastZero("rules.askWithinUs", (double) pollWithinUs);
    atLeastZero("rules.budgetFree", retryBudgetFloor);
    atLeastZero("rules.ratioSpanUs", (double) retryRatioWindowUs);
    ratio("rules.coldFrom", initialCapacityShare);
    atLeastZero("rules.warmAfterUs", (double) slowStartDurationUs);
    atLeastZero("rules.overloadFactor", overloadFactor);
    atLeastZero("rules.fallUs", (double) overloadToleranceUs);
    atLeastZero("rules.drainGraceUs", (double) drainGraceUs);
    if (Double.isNaN(retryRatio) || retryRatio > 1e6) {
      throw new IllegalArgumentException("rules.repeatRatio is out of range: " + retryRatio);
    }
  }
}
