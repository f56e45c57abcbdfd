package dunlinhitch.twophase;

import dunlinhitch.twophase.TwoPhasePlan.Reason;
import java.util.EnumMap;
import java.util.Map;

/**
 * The planner's estimates for one query class: latencies of both passes, the share of empty blocks,
 * the cost of a first pass, and whether pruning is disabled after a failed audit.
 *
 * <p>Not thread-safe; owned by the {@link TwoPhasePlanner}.
 */
final class ClassEstimates {
  /**
   * Minimum number of samples of each pass for a decision. With fewer samples, only a share of the
   * queries runs in two phases, as trials that provide samples.
   */
  private static final int MIN_SAMPLES = 20;

  /**
   * Assumed cost of a first pass relative to a full pass, used until the cost has been measured at
   * replicas without a queue.
   */
  private static final double INITIAL_COST_RATIO = 0.1;

  private static final double MAX_COST_RATIO = 2;

  private static final double INITIAL_EMPTY_SHARE = 0.5;

  /** Weight of the newest answer in the exponentially decayed share of empty blocks. */
  private static final double EMPTY_SHARE_WEIGHT = 0.02;

  /**
   * Full passes count as queued if the low percentile of their latencies exceeds the recorded
   * lowest latency by this factor.
   */
  private static final double QUEUEING_FACTOR = 1.5;

  /**
   * Factor by which the recorded lowest latency of full passes may grow with each sample, so that a
   * permanent slowdown of the replicas is not mistaken for queueing.
   */
  private static final double QUICKEST_DRIFT = 1.0005;

  /** The low latency percentile of a pass. Low percentiles contain the least queueing delay. */
  private static final double QUICK_PERCENTILE = 5;

  /**
   * The percentile of full-pass latencies that must fit into the time left after the first pass.
   */
  private static final double SLOW_PERCENTILE = 90;

  /**
   * The percentile of first-pass latencies that determines how long a first pass waits for answers.
   */
  private static final double FIRST_PASS_PERCENTILE = 99;

  /**
   * Minimum time limit of a first pass, in microseconds. A shorter limit could expire before an
   * answer is possible: effects are carried out only once per turn, and a connection may have to be
   * established first.
   */
  private static final long MIN_FIRST_PASS_US = 25_000;

  /**
   * Safety factor applied to a latency percentile when checking that a pass fits into the remaining
   * time.
   */
  private static final int LATENCY_HEADROOM = 2;

  private final TwoPhaseSettings settings;
  private final LatencyWindow firstPass = new LatencyWindow();

  /**
   * Latencies of first passes, including estimated latencies of the answers that missed the time
   * limit of their pass. The time limit of later first passes is derived from this window. If it
   * contained only the answers that arrived in time, the limit would shrink with each adjustment.
   */
  private final LatencyWindow firstPassWithTimeouts = new LatencyWindow();

  private final LatencyWindow fullPass = new LatencyWindow();
  private final Map<Reason, Long> planCounts = new EnumMap<>(Reason.class);
  private double emptyShare = INITIAL_EMPTY_SHARE;
  private double costRatio = INITIAL_COST_RATIO;
  private double quickestFullUs = LatencyWindow.MAX_LATENCY_US;
  private long closedUntilUs = Long.MIN_VALUE;
  private boolean paysOff;

  ClassEstimates(TwoPhaseSettings settings) {
    this.settings = settings;
  }

  TwoPhaseSettings settings() {
    return settings;
  }

  /** Whether there are enough samples of both passes for a decision based on the estimates. */
  boolean isSampled() {
    return firstPass.count() >= MIN_SAMPLES && isFullPassSampled();
  }

  private boolean isFullPassSampled() {
    return fullPass.count() >= MIN_SAMPLES;
  }

  /** Returns the exponentially decayed share of first answers that reported no matching records. */
  double emptyShare() {
    return emptyShare;
  }

  /**
   * Returns the cost of a first pass as a fraction of the cost of a full pass; 0 while there are
   * too few samples.
   */
  double costRatio() {
    return isSampled() ? costRatio : 0;
  }

  /** Re-evaluates whether two phases save more than they cost, and stores the result. */
  boolean updatePaysOff() {
    paysOff = isSampled() && emptyShare > costRatio() + settings.minSavings();
    return paysOff;
  }

  /** The last result of {@link #updatePaysOff}. */
  boolean paysOff() {
    return paysOff;
  }

  /**
   * Returns when a first pass that starts now must end, for a query that must be complete at {@code
   * untilUs}.
   */
  long firstPassEndUs(long nowUs, long untilUs) {
    long remainingUs = untilUs - nowUs;
    long limitUs = (long) (settings.firstPassShare() * remainingUs);
    if (!isSampled()) {
      return nowUs + limitUs;
    }
    double slowestUs = firstPassWithTimeouts.percentileUs(FIRST_PASS_PERCENTILE);
    long expectedUs = (long) (LATENCY_HEADROOM * slowestUs);
    return nowUs + Math.min(limitUs, Math.max(MIN_FIRST_PASS_US, expectedUs));
  }

  /** Whether a full pass fits between the end of the first pass and {@code untilUs}. */
  boolean hasTimeForFullPass(long firstPassEndUs, long untilUs) {
    return !isFullPassSampled()
        || !(untilUs - firstPassEndUs < LATENCY_HEADROOM * fullPass.percentileUs(SLOW_PERCENTILE));
  }

  /** Handles an answer of a first pass. */
  void onFirstAnswer(long nowUs, long latencyUs, boolean empty) {
    firstPass.record(nowUs, latencyUs);
    firstPassWithTimeouts.record(nowUs, latencyUs);
    emptyShare += EMPTY_SHARE_WEIGHT * ((empty ? 1 : 0) - emptyShare);
  }

  /**
   * Handles a first answer that did not arrive before the end of its pass. Its latency is unknown
   * but exceeds {@code waitedUs}, so it is recorded as {@link #LATENCY_HEADROOM} times {@code
   * waitedUs}.
   */
  void onFirstAnswerTimeout(long nowUs, long waitedUs) {
    firstPassWithTimeouts.record(nowUs, LATENCY_HEADROOM * waitedUs);
  }

  /** Handles an answer of a full pass. */
  void onFullAnswer(long nowUs, long latencyUs) {
    fullPass.record(nowUs, latencyUs);
    if (isSampled()) {
      updateCostRatio();
    }
  }

  /**
   * Computes the cost ratio from the low latency percentiles of both passes, which reflect replicas
   * without a queue. If even the fastest full answers include queueing time, the new ratio reflects
   * that time more than the cost, so it replaces the current ratio only if it is lower.
   */
  private void updateCostRatio() {
    double quickFullUs = fullPass.percentileUs(QUICK_PERCENTILE);
    double ratio = Math.min(MAX_COST_RATIO, firstPass.percentileUs(QUICK_PERCENTILE) / quickFullUs);
    quickestFullUs = Math.min(quickFullUs, quickestFullUs * QUICKEST_DRIFT);
    boolean queued = quickFullUs > QUEUEING_FACTOR * quickestFullUs;
    costRatio = queued ? Math.min(costRatio, ratio) : ratio;
  }

  /** Whether pruning is disabled after a failed audit. */
  boolean isClosed(long nowUs) {
    return nowUs < closedUntilUs;
  }

  /** Disables pruning for the configured time from now on. */
  void close(long nowUs) {
    closedUntilUs = nowUs + settings.closeDurationUs();
  }

  void countPlan(Reason reason) {
    planCounts.merge(reason, 1L, Long::sum);
  }

  /** Number of plans for each reason, since the start. */
  Map<Reason, Long> planCounts() {
    return Map.copyOf(planCounts);
  }
}
