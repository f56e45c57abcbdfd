package dunlinhitch.twophase;

/**
 * Settings of two-phase execution for one query class. All shares lie between 0 and 1.
 *
 * @param queryClass name of the query class
 * @param firstPassShare the largest share of the time until the latency objective (or the deadline,
 *     where that is earlier) that the first pass may take; neither 0 nor 1
 * @param minBlocks a query over fewer blocks runs in a single phase; at least 2
 * @param trialShare share of queries that run in two phases while two phases do not seem to pay
 * @param auditShare share of the prunable blocks that are queried in full all the same, to verify
 *     that they are empty
 * @param minSavings the share of the full work that must be saved for two phases to pay
 * @param closeDurationUs for how long pruning stays closed after an audit has failed, in
 *     microseconds
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
   * Checks the ranges.
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
      throw new IllegalArgumentException("settings of phases out of range");
    }
  }

  private static boolean isShare(double value) {
    return value >= 0 && value <= 1;
  }
}
