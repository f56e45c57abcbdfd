package dunlinhitch.experiments.testbed;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * The fault rules of the simulated network. A rule applies to traffic between two named ends.
 * Before the proxies forward a chunk or a datagram, they look up the rule for it. Names are those
 * of brokers (n0), stores (s0-1) and discovery (d).
 *
 * <p>Thread-safe: the proxies' event loop reads the rules, any thread may modify them.
 */
public final class NetworkFaults {
  /**
   * The effect on traffic from one end to the other. LOST: the traffic is dropped silently. RESET:
   * the connection is reset. SLOW: the traffic arrives in chunks of a few bytes. LATE: the traffic
   * is delayed. HELD: the proxy holds back the traffic and all later bytes of the connection until
   * {@link StreamProxy#release}.
   */
  public enum Harm {
    LOST,
    RESET,
    SLOW,
    LATE,
    HELD
  }

  /**
   * One rule.
   *
   * @param between accepts the names of sender and receiver to which the rule applies
   * @param ms delay of LATE traffic, and the pause between two chunks of SLOW traffic
   * @param share probability with which the rule applies to a chunk or datagram
   */
  public record Rule(BiPredicate<String, String> between, Harm harm, int ms, double share) {}

  private final List<Rule> rules = new ArrayList<>();
  private final SplittableRandom random;

  /**
   * Creates an empty set of rules; {@code seed} determines to which chunks and datagrams a rule
   * applies whose share is below 1.
   */
  public NetworkFaults(long seed) {
    random = new SplittableRandom(seed);
  }

  /** Adds a rule, which takes precedence over earlier ones. */
  public synchronized Rule add(
      BiPredicate<String, String> between, Harm harm, int ms, double share) {
    Rule rule = new Rule(between, harm, ms, share);
    rules.add(0, rule);
    return rule;
  }

  /** Adds a rule that partitions these endpoints from all others, in both directions. */
  public Rule cut(List<String> names) {
    return add((from, to) -> names.contains(from) != names.contains(to), Harm.LOST, 0, 1);
  }

  /** Adds a rule that drops all traffic in one direction. */
  public Rule cutOneWay(String from, String to) {
    return add((sender, receiver) -> sender.equals(from) && receiver.equals(to), Harm.LOST, 0, 1);
  }

  /** Removes a rule; does nothing if the rule is not in the set. */
  public synchronized void remove(Rule rule) {
    rules.remove(rule);
  }

  /** Removes all rules. */
  public synchronized void clear() {
    rules.clear();
  }

  /** Returns the first rule that applies to the current chunk or datagram, or null if none does. */
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
