package dunlinhitch.scoring.host;

import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.SharedWeights;
import java.util.Map;

/**
 * Statistics of a {@link ScorerHost} for an operator.
 *
 * @param scorer the active scorer, or null
 * @param counters counts of events
 * @param lastRoundCpuUs processor time of the last round in microseconds
 * @param abandonedThreads number of threads that have not ended although their scorer was released
 * @param problem the last failure of the scorer with its remedy, or empty
 */
public record HostStatistics(
    ScorerIdentity scorer,
    Counters counters,
    long lastRoundCpuUs,
    int abandonedThreads,
    String problem) {
  /**
   * Counts of events since the host was created.
   *
   * @param validRounds rounds whose output was applied
   * @param failures number of failures of the scorer by kind
   * @param mergeResults number of received weights by merge result; reset when the scorer's
   *     identity changes
   * @param droppedMessages messages dropped because the mailbox was full
   */
  public record Counters(
      long validRounds,
      Map<Failure, Long> failures,
      Map<SharedWeights.MergeResult, Long> mergeResults,
      long droppedMessages) {}

  static final HostStatistics NONE =
      new HostStatistics(null, new Counters(0, Map.of(), Map.of(), 0), 0, 0, "");
}
