package dunlinhitch.twophase;

/**
 * Settings of two-phase execution for one query class. All shares lie between 0 and 1.
 *
 * @param queryClass name of the query class
 * @param firstPassShare maximum share of the time until the latency objective (or the deadline, if
 *     that is earlier) that the first pass may take; above 0 and below 1
 * @param minBlocks minimum number of blocks for two phases; at least 2
 * @param trialShare share of queries that run in two phases as a trial while two phases are not
 *     expected to pay off
 * @param auditShare share of the prunable blocks that are queried in full nevertheless, to verify
 *     that they are empty
 * @param minSavings minimum share of the full work that two phases must save to be used
 * @param closeDurationUs how long pruning stays disabled after a failed audit, in microseconds
 */
public record TwoPhaseSettings(
    String queryClass,
    double firstPassShare,
    int minBlocks,
    double trialShare,
    double auditShare,
    double minSavings,
    long closeDurationUs) {
  /**
   * Validates the ranges of the values.
   *
   * @throws IllegalArgumentException if a value is out of its range
   */
  public TwoPhaseSettings {
    if (!(firstPassShare > 0 && firstPassShare < 1)
        || minBlocks < 2
        || !isShare(trialShare)
        || !isShare(auditShare)
        || !(minSavings >= 0 && minSavings < 1)
        || closeDurationUs < 0) {
      throw new IllegalArgumentException(
          "two-phase settings out of range: expected 0 < firstPassShare < 1, minBlocks >= 2,"
              + " trialShare and auditShare from 0 to 1, 0 <= minSavings < 1 and closeDurationUs >= 0;"
              + " got firstPassShare "
              + firstPassShare
              + ", minBlocks "
              + minBlocks
              + ", trialShare "
              + trialShare
              + ", auditShare "
              + auditShare
              + ", minSavings "
              + minSavings
              + ", closeDurationUs "
              + closeDurationUs);
    }
  }

  private static boolean isShare(double value) {
    return value >= 0 && value <= 1;
  }
}
