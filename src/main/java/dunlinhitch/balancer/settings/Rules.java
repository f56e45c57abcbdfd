package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

/**
 * The rules that a broker must comply with.
 *
 * @param answerSlackUs time by which an answer may exceed its deadline
 * @param pollWithinUs time within which a changed server list must be read
 * @param retryRatio retries allowed for each request received; negative if there is no retry budget
 * @param retryBudgetFloor retries that are allowed regardless of the ratio
 * @param retryRatioWindowUs length of the sliding window of the retry budget
 * @param initialCapacityShare fraction of its capacity that a server has when it starts
 * @param slowStartDurationUs time from the start of a server until it has its full capacity
 * @param overloadFactor multiple of its capacity at which a warming server fails, 0 for never
 * @param overloadToleranceUs time that a warming server withstands such an overload
 * @param drainGraceUs time for which a draining server still accepts parts
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
