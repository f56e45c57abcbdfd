package dunlinhitch.answerkeys;

/**
 * A rule in one of its epochs. Evidence from other epochs does not count. Ordered by name, then by
 * epoch.
 */
public record RuleEpoch(String rule, long epoch) implements Comparable<RuleEpoch> {
  @Override
  public int compareTo(RuleEpoch other) {
    int byName = rule.compareTo(other.rule);
    return byName != 0 ? byName : Long.compare(epoch, other.epoch);
  }
}
