package dunlinhitch.experiments.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * What is wrong between whom: rules by the names of both ends, asked by the proxies for each piece
 * that passes. Names are those of brokers (n0), stores (s0-1) and discovery (d). Used by one loop,
 * changed by any thread.
 */
public final class Links {
  /**
   * What happens to what goes from the one to the other. LOST: it never comes, and nobody is told.
   * RESET: the connection is reset as it comes. SLOW: it comes in pieces of a few bytes. LATE: it
   * comes later.
   */
  public enum Harm {
    LOST,
    RESET,
    SLOW,
    LATE
  }

  /**
   * One rule; {@code ms}: how late, for LATE and between the pieces of SLOW; {@code share}: of what
   * passes, the rest is let through.
   */
  public record Rule(BiPredicate<String, String> between, Harm harm, int ms, double share) {}

  private final List<Rule> rules = new ArrayList<>();
  private final SplittableRandom random;

  public Links(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Adds a rule; it goes before those that were there. */
  public synchronized Rule add(
      BiPredicate<String, String> between, Harm harm, int ms, double share) {
    Rule rule = new Rule(between, harm, ms, share);
    rules.add(0, rule);
    return rule;
  }

  /** Both ways between these and all others. */
  public Rule cut(List<String> names) {
    return add((from, to) -> names.contains(from) != names.contains(to), Harm.LOST, 0, 1);
  }

  /** One way only. */
  public Rule cutOneWay(String from, String to) {
    return add((a, b) -> a.equals(from) && b.equals(to), Harm.LOST, 0, 1);
  }

  public synchronized void remove(Rule rule) {
    rules.remove(rule);
  }

  public synchronized void clear() {
    rules.clear();
  }

  /** The rule that holds for what goes from the one to the other now, or null. */
  synchronized Rule of(String from, String to) {
    for (Rule rule : rules) {
      if (rule.between().test(from, to)
          && (rule.share() >= 1 || random.nextDouble() < rule.share())) {
        return rule;
      }
    }
    return null;
  }
}
