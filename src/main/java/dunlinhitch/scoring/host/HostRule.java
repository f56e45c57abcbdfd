package dunlinhitch.scoring.host;

import dunlinhitch.scoring.StandingRule;

/**
 * What a scorer may take.
 *
 * @param costMostUs processor time of a round
 * @param returnMostUs from the asking to the answer
 * @param loadMostUs from the beginning of its loading to its end
 * @param bytesMost allocated in a round
 * @param stuckMost threads that may be left behind in scorers that never returned; with so many
 *     none is loaded any more
 * @param inboxMost endings and words that wait; beyond it they are dropped and counted
 * @param standing how long it is left out
 */
public record HostRule(
    long costMostUs,
    long returnMostUs,
    long loadMostUs,
    long bytesMost,
    int stuckMost,
    int inboxMost,
    StandingRule standing) {
  public static final HostRule STANDARD =
      new HostRule(20_000, 1_000_000, 5_000_000, 8 << 20, 2, 10_000, StandingRule.STANDARD);
}
