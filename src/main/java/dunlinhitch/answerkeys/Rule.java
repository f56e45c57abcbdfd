package dunlinhitch.answerkeys;

import java.util.List;

/**
 * An operator's claim about a query class: two parts have equal answers if the rewrites of the rule
 * make the parts equal. A rule is trusted or withdrawn as a whole, with all of its rewrites.
 *
 * @param epoch a number that the operator raises to discard the evidence and start the evaluation
 *     of the rule again
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
