package dunlinhitch.scoring.host;

import dunlinhitch.scoring.CircuitBreaker;
import dunlinhitch.scoring.EjectionNotices;
import dunlinhitch.scoring.Failure;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.Scoring;
import dunlinhitch.scoring.SharedWeights;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Publishes pending gossip and statistics to the event loop.
 *
 * <p>Not thread-safe; the supervisor thread owns it.
 */
final class StatePublisher {
  /** Maximum number of entries of each kind that are offered for dissemination. */
  private static final int MAX_GOSSIP_ENTRIES = 64;

  private final SharedState sharedState;
  private final Mailbox mailbox;
  private final EjectionNotices ejectionNotices;
  private final CircuitBreaker circuitBreaker;
  private long validRounds;
  private long lastRoundCpuUs;

  /**
   * Sum of the weight versions of earlier scorers, which is added to the current version so that
   * the gossip version never decreases.
   */
  private long earlierWeightVersions;

  StatePublisher(
      SharedState sharedState,
      Mailbox mailbox,
      EjectionNotices ejectionNotices,
      CircuitBreaker circuitBreaker) {
    this.sharedState = sharedState;
    this.mailbox = mailbox;
    this.ejectionNotices = ejectionNotices;
    this.circuitBreaker = circuitBreaker;
  }

  /** Records the processor time of a round, valid or not. */
  void onRoundCompleted(long cpuUs) {
    lastRoundCpuUs = cpuUs;
  }

  /** Counts a round whose output was applied. */
  void onValidRound() {
    validRounds++;
  }

  /**
   * Records that the current weights, which have the given version, are replaced by the weights of
   * another scorer.
   */
  void onWeightsReplaced(long version) {
    earlierWeightVersions += version;
  }

  /**
   * Publishes the current state.
   *
   * @param scorerName name in the settings, used to describe a problem
   * @param active identity of the active scorer, or null
   * @param scoring state of the rounds, or null before the first load
   * @param abandonedThreads number of threads that have not ended although their scorer was
   *     released
   */
  void publish(String scorerName, ScorerIdentity active, Scoring scoring, int abandonedThreads) {
    SharedWeights weights = scoring == null ? null : scoring.weights();
    publishGossip(weights);
    HostStatistics.Counters counters =
        new HostStatistics.Counters(
            validRounds, failureCounts(), mergeResultCounts(weights), mailbox.dropped());
    sharedState.setStatistics(
        new HostStatistics(
            active,
            counters,
            lastRoundCpuUs,
            abandonedThreads,
            circuitBreaker.describe(scorerName)));
  }

  private void publishGossip(SharedWeights weights) {
    long weightVersion = weights == null ? 0 : weights.version();
    long version = earlierWeightVersions + ejectionNotices.version() + weightVersion;
    if (version == sharedState.pendingGossip().version()) {
      return;
    }
    sharedState.setPendingGossip(
        new PendingGossip(
            version,
            weights == null ? List.of() : weights.since(0, MAX_GOSSIP_ENTRIES),
            ejectionNotices.since(0, MAX_GOSSIP_ENTRIES)));
  }

  private Map<Failure, Long> failureCounts() {
    Map<Failure, Long> counts = new EnumMap<>(Failure.class);
    for (Failure failure : Failure.values()) {
      counts.put(failure, circuitBreaker.count(failure));
    }
    return Map.copyOf(counts);
  }

  private static Map<SharedWeights.MergeResult, Long> mergeResultCounts(SharedWeights weights) {
    Map<SharedWeights.MergeResult, Long> counts = new EnumMap<>(SharedWeights.MergeResult.class);
    for (SharedWeights.MergeResult result : SharedWeights.MergeResult.values()) {
      counts.put(result, weights == null ? 0 : weights.count(result));
    }
    return Map.copyOf(counts);
  }
}
