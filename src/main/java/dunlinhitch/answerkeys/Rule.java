package dunlinhitch.answerkeys;

import java.util.List;

/**
 * A claim of an operator: parts of the class that these rewrites make equal have equal answers. It
 * is trusted or withdrawn with all its rewrites.
 *
 * @param epoch raised by the operator to have the rule start again without evidence
 * @param location where the rule is configured, for errors
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
