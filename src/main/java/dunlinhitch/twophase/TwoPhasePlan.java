package dunlinhitch.twophase;

import java.util.Set;

/**
 * The decision for one query: a single phase, or a first pass over some of its shards.
 *
 * @param firstPassShards shards of the first pass; empty if the query runs in a single phase
 * @param firstPassEndUs the latest time at which the first pass ends, in absolute microseconds; 0
 *     for a single phase
 * @param reason the reason for the decision
 */
public record TwoPhasePlan(Set<Integer> firstPassShards, long firstPassEndUs, Reason reason) {
  /**
   * Reason for running a query in two phases or in one. The names appear in the broker's output.
   */
  public enum Reason {
    /** Two phases: the first pass is expected to save more than it costs. */
    TWO_PHASES,
    /** Two phases, as a trial that keeps the estimates up to date. */
    TRIAL,
    /** One phase: two-phase execution is not configured for the class. */
    NOT_SET,
    /** One phase: the query covers too few blocks. */
    FEW_BLOCKS,
    /** One phase: the expected savings do not cover the cost of the first pass. */
    DOES_NOT_PAY,
    /** One phase: the time that remains after a first pass is too short for the full pass. */
    TOO_LITTLE_TIME,
    /** One phase: pruning is disabled after a failed audit. */
    CLOSED,
    /** One phase: each shard of the query has a replica that does not support first passes. */
    ONE_PHASE_STORES,
    /** One phase: according to the summaries, every eligible block has matching records. */
    KNOWN_FULL
  }

  /** Copies the set of shards. */
  public TwoPhasePlan {
    firstPassShards = Set.copyOf(firstPassShards);
  }

  /** Returns whether the query has a first pass. */
  public boolean twoPhases() {
    return !firstPassShards.isEmpty();
  }

  static TwoPhasePlan singlePhase(Reason reason) {
    return new TwoPhasePlan(Set.of(), 0, reason);
  }
}
