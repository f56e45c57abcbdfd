package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.positive;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

/**
 * One class of query; fractions are 0 to 1, {@code followUp} the parts of a second step (0: none).
 */
public record QueryClass(
    String name,
    long aimUs,
    double aimStretch,
    long deadlineUs,
    Idempotency repeat,
    double lateWorth,
    long dedupWindowUs,
    double worth,
    boolean streaming,
    int followUp,
    double floor,
    double need,
    double shortWorth) {
  public QueryClass {
    positive("classes.aimUs", (double) aimUs);
    positive("classes.deadlineUs", (double) deadlineUs);
    atLeastZero("classes.aimStretch", aimStretch);
    atLeastZero("classes.dedupWindowUs", (double) dedupWindowUs);
    atLeastZero("classes.worth", worth);
    atLeastZero("classes.followUp", followUp);
    ratio("classes.lateWorth", lateWorth);
    ratio("classes.floor", floor);
    ratio("classes.need", need);
    ratio("classes.shortWorth", shortWorth);
  }
}
