package dunlinhitch.answerkeys;

import java.util.List;

/**
 * What an operator claims: parts of the class that these rewrites make equal have equal answers. It
 * earns its trust, or is withdrawn, as a whole; {@code epoch} is raised to have it begin anew.
 * {@code place} is where it stands, for errors.
 */
public record Rule(
    String name, String queryClass, long epoch, List<Rewrite> rewrites, String place) {
  public Rule {
    rewrites = List.copyOf(rewrites);
  }

  /** A rule in one of its lives. */
  public record Life(String rule, long epoch) implements Comparable<Life> {
    @Override
    public int compareTo(Life other) {
      int byName = rule.compareTo(other.rule);
      return byName != 0 ? byName : Long.compare(epoch, other.epoch);
    }
  }

  Life life() {
    return new Life(name, epoch);
  }
}
