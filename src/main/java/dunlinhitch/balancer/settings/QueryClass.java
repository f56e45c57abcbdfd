package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.positive;
import static dunlinhitch.balancer.settings.SettingsValidation.ratio;

/**
 * One class of queries. Shares and weights of answers are from 0 to 1.
 *
 * @param latencyObjectiveUs time within which an answer has its full weight
 * @param latencyObjectiveStretch time added to the objective for each unit of the query's work
 * @param deadlineUs time after which clients give up
 * @param idempotency which attempts are safe to repeat
 * @param lateWeight weight of an answer after the objective
 * @param dedupWindowUs time within which servers recognize a duplicate attempt
 * @param priorityWeight weight of a query of this class relative to other classes
 * @param followUp number of parts of the second step, 0 if the class has none
 * @param floor minimum weight of the parts in a partial answer
 * @param need minimum weight of the parts in a complete answer
 * @param partialWeight weight of a partial answer
 */
public record QueryClass(
    String name,
    long latencyObjectiveUs,
    double latencyObjectiveStretch,
    long deadlineUs,
    Idempotency idempotency,
    double lateWeight,
    long dedupWindowUs,
    double priorityWeight,
    boolean streaming,
    int followUp,
    double floor,
    double need,
    double partialWeight) {
  /** Checks the ranges. */
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
