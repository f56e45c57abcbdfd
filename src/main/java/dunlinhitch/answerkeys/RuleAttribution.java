package dunlinhitch.answerkeys;

import java.util.List;
import java.util.function.Predicate;

/** Determines the rules that cause two parts to share a key. */
final class RuleAttribution {
  private final KeyFactory keys;

  RuleAttribution(KeyFactory keys) {
    this.keys = keys;
  }

  /**
   * Returns the rules that are necessary for the two parts to share a key. If no single rule is
   * necessary, because several rules have the same effect, returns all rules that change the key of
   * at least one of the parts.
   */
  List<Rule> responsible(PartQuery one, PartQuery other, List<Rule> tested) {
    if (tested.size() == 1) {
      return isNecessary(one, other, tested.get(0)) ? tested : List.of();
    }
    List<Rule> necessary = tested.stream().filter(rule -> isNecessary(one, other, rule)).toList();
    return necessary.isEmpty()
        ? tested.stream().filter(rule -> changes(one, rule) || changes(other, rule)).toList()
        : necessary;
  }

  private boolean isNecessary(PartQuery one, PartQuery other, Rule rule) {
    Predicate<Rule> others = candidate -> keys.isTrusted(candidate) && !candidate.equals(rule);
    return !keys.keyFor(one, others).equals(keys.keyFor(other, others));
  }

  private boolean changes(PartQuery part, Rule rule) {
    return !keys.keyFor(part, candidate -> candidate.equals(rule))
        .equals(keys.keyFor(part, candidate -> false));
  }
}
