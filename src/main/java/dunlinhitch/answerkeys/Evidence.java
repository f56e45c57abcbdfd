package dunlinhitch.answerkeys;

import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * The cumulative evidence of one broker about a rule in one epoch: a later value of a broker
 * includes all of its earlier ones.
 *
 * @param proposals requests whose key the rule would have changed
 * @param equalPairs pairs of equal answers
 * @param shards the shards of these pairs
 * @param clientKinds the client kinds of these pairs
 * @param suspect the broker suspects the rule
 * @param withdrawalReason why the broker withdrew the rule; empty where it did not
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
   * The number of shards or client kinds that a gossip message has capacity for; no setting may ask
   * for a wider spread.
   */
  static final int MAX_SPREAD = 16;

  /** Copies the sets, sorted. */
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

  /** Adds nothing beyond {@code limit} pairs: what suffices need not be gossiped again. */
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

  /** The first reason stays. */
  Evidence withWithdrawal(String reason) {
    return new Evidence(
        proposals,
        equalPairs,
        shards,
        clientKinds,
        false,
        isWithdrawn() ? withdrawalReason : reason);
  }

  /** Merged with what an earlier incarnation of the same broker had published. */
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
