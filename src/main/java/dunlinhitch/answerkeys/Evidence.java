package dunlinhitch.answerkeys;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * The cumulative evidence of one broker about a rule in one epoch: each value that a broker
 * publishes includes the broker's earlier values.
 *
 * @param proposals the number of requests whose key the rule would have changed
 * @param equalPairs the number of pairs of equal answers
 * @param shards the shards of these pairs
 * @param clientKinds the client kinds of these pairs
 * @param suspect whether the rule is suspect at the broker
 * @param withdrawalReason why the broker withdrew the rule; empty if it did not
 */
public record Evidence(
    long proposals,
    long equalPairs,
    Set<Integer> shards,
    Set<String> clientKinds,
    boolean suspect,
    String withdrawalReason) {
  static final Evidence NONE = new Evidence(0, 0, Set.of(), Set.of(), false, "");

  /**
   * The maximum number of shards and of client kinds that a gossip message carries. Trust
   * thresholds must not exceed this number.
   */
  static final int MAX_SPREAD = 16;

  /** Copies and sorts the sets. */
  public Evidence {
    shards = Collections.unmodifiableSet(new TreeSet<>(shards));
    clientKinds = Collections.unmodifiableSet(new TreeSet<>(clientKinds));
  }

  private static <T> Set<T> boundedUnion(Set<T> first, Set<T> second) {
    Set<T> union = new TreeSet<>(first);
    for (T element : second) {
      if (union.size() < MAX_SPREAD) {
        union.add(element);
      }
    }
    return union;
  }

  boolean isWithdrawn() {
    return !withdrawalReason.isEmpty();
  }

  Evidence withProposal(long limit) {
    return proposals >= limit
        ? this
        : new Evidence(proposals + 1, equalPairs, shards, clientKinds, suspect, withdrawalReason);
  }

  /**
   * Adds a pair of equal answers. Counts at most {@code limit} pairs, because a higher number would
   * have no effect and need not be gossiped.
   */
  Evidence withEqualPair(long limit, int shard, Set<String> pairKinds) {
    return new Evidence(
        proposals,
        Math.min(limit, equalPairs + 1),
        boundedUnion(shards, Set.of(shard)),
        boundedUnion(clientKinds, pairKinds),
        suspect,
        withdrawalReason);
  }

  Evidence withSuspicion(boolean suspected) {
    return new Evidence(proposals, equalPairs, shards, clientKinds, suspected, withdrawalReason);
  }

  /** Marks the rule as withdrawn. If it is already withdrawn, the first reason is retained. */
  Evidence withWithdrawal(String reason) {
    return new Evidence(
        proposals,
        equalPairs,
        shards,
        clientKinds,
        false,
        isWithdrawn() ? withdrawalReason : reason);
  }

  /**
   * Merges this evidence with the evidence that an earlier incarnation of the same broker
   * published.
   */
  Evidence mergedWith(Evidence other) {
    return new Evidence(
        Math.max(proposals, other.proposals),
        Math.max(equalPairs, other.equalPairs),
        boundedUnion(shards, other.shards),
        boundedUnion(clientKinds, other.clientKinds),
        suspect || other.suspect,
        isWithdrawn() ? withdrawalReason : other.withdrawalReason);
  }
}
