package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

/** Figures of the rules; {@code repeatRatio} below 0: no budget for further attempts is stated. */
public record Rules(
    long answerSlackUs,
    long askWithinUs,
    double repeatRatio,
    double budgetFree,
    long ratioSpanUs,
    double coldFrom,
    long warmAfterUs,
    double overloadFactor,
    long fallUs,
    long drainGraceUs) {
  public Rules {
    atLeastZero("rules.answerSlackUs", (double) answerSlackUs);
    atLeastZero("rules.askWithinUs", (double) askWithinUs);
    atLeastZero("rules.budgetFree", budgetFree);
    atLeastZero("rules.ratioSpanUs", (double) ratioSpanUs);
    ratio("rules.coldFrom", coldFrom);
    atLeastZero("rules.warmAfterUs", (double) warmAfterUs);
    atLeastZero("rules.overloadFactor", overloadFactor);
    atLeastZero("rules.fallUs", (double) fallUs);
    atLeastZero("rules.drainGraceUs", (double) drainGraceUs);
    if (Double.isNaN(repeatRatio) || repeatRatio > 1e6) {
      throw new IllegalArgumentException("rules.repeatRatio is out of range: " + repeatRatio);
    }
  }
}
