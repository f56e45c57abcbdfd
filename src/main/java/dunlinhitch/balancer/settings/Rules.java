package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

/** Figures of the rules; {@code retryRatio} below 0: no budget for further attempts is stated. */
public record Rules(
    long answerSlackUs,
    long pollWithinUs,
    double retryRatio,
    double retryBudgetFloor,
    long retryRatioWindowUs,
    double initialCapacityShare,
    long slowStartDurationUs,
    double overloadFactor,
    long fallUs,
    long drainGraceUs) {
  public Rules {
    atLeastZero("rules.answerSlackUs", (double) answerSlackUs);
    atLeastZero("rules.askWithinUs", (double) pollWithinUs);
    atLeastZero("rules.budgetFree", retryBudgetFloor);
    atLeastZero("rules.ratioSpanUs", (double) retryRatioWindowUs);
    ratio("rules.coldFrom", initialCapacityShare);
    atLeastZero("rules.warmAfterUs", (double) slowStartDurationUs);
    atLeastZero("rules.overloadFactor", overloadFactor);
    atLeastZero("rules.fallUs", (double) fallUs);
    atLeastZero("rules.drainGraceUs", (double) drainGraceUs);
    if (Double.isNaN(retryRatio) || retryRatio > 1e6) {
      throw new IllegalArgumentException("rules.repeatRatio is out of range: " + retryRatio);
    }
  }
}
