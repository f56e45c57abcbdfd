package dunlinhitch.twophase;

import java.util.Set;

/**
 * How one query goes.
 *
 * @param first shards that are asked first; empty: one phase
 * @param firstEndUs when the first pass is over at the latest (microseconds, absolute)
 * @param why why it goes in one phase, or that it does not
 */
public record TwoPhasePlan(Set<Integer> first, long firstEndUs, Why why) {
  /** Why a query goes as it does. */
  public enum Why {
    TWO_PHASES,
    TRIAL,
    NOT_SET,
    FEW_BLOCKS,
    DOES_NOT_PAY,
    TOO_LITTLE_TIME,
    CLOSED,
    ONE_PHASE_STORES,
    KNOWN_FULL
  }

  public TwoPhasePlan {
    first = Set.copyOf(first);
  }

  public boolean twoPhases() {
    return !first.isEmpty();
  }

  static TwoPhasePlan one(Why why) {
    return new TwoPhasePlan(Set.of(), 0, why);
  }
}
