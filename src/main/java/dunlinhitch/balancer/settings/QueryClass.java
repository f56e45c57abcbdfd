package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.positive;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

/**
 * One class of query; fractions are 0 to 1, {@code followUp} the parts of a second step (0: none).
 */
public record QueryClass(
    String name,
    long latencyObjectiveUs,
    double latencyObjectiveStretch,
    long deadlineUs,
    Idempotency repeat,
    double lateWeight,
    long dedupWindowUs,
    double priorityWeight,
    boolean streaming,
    int followUp,
    double floor,
    double need,
    double partialWeight) {
  public QueryClass {
    positive("classes.aimUs", (double) latencyObjectiveUs);
    positive("classes.deadlineUs", (double) deadlineUs);
    atLeastZero("classes.aimStretch", latencyObjectiveStretch);
    atLeastZero("classes.dedupWindowUs", (double) dedupWindowUs);
    atLeastZero("classes.worth", priorityWeight);
    atLeastZero("classes.followUp", followUp);
    ratio("classes.lateWorth", lateWeight);
    ratio("classes.floor", floor);
    ratio("classes.need", need);
    ratio("classes.shortWorth", partialWeight);
  }
}
