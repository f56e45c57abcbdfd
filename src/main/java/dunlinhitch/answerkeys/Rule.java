package dunlinhitch.answerkeys;

import java.util.List;

/**
 * A claim by an operator that parts of the class have equal answers if these rewrites make them
 * equal. A rule is trusted or withdrawn as a whole, with all its rewrites.
 *
 * @param epoch raised by the operator to restart the rule without evidence
 * @param location where the rule is configured, for error messages
 */
public record Rule(
    String name, String queryClass, long epoch, List<Rewrite> rewrites, String location) {
  /** Copies the rewrites. */
  public Rule {
    rewrites = List.copyOf(rewrites);
  }

  RuleEpoch ruleEpoch() {
    return new RuleEpoch(name, epoch);
  }
}
