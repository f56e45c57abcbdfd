package dunlinhitch.twophase;

import dunlinhitch.twophase.BlockSummaries.Hint;
import dunlinhitch.twophase.TwoPhasePlan.Reason;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Decides whether a query runs in two phases, how long its first pass may take, which blocks that
 * pass prunes, and which prunable blocks are queried in full nevertheless, as an audit.
 *
 * <p>Uses no I/O, clock or threads; every call passes the time, in microseconds on one monotonic
 * clock. Owned by the reducer; not thread-safe.
 */
public final class TwoPhasePlanner {
  private static final int MAX_BLOCKS = 1 << 20;
  private static final int MAX_PREDICATES = 256;

  /** Maximum age at which a summary still gives a hint, in microseconds. */
  private static final long MAX_SUMMARY_AGE_US = 30_000_000;

  /**
   * Minimum share of a class's queries that run in two phases as trials while the class has too few
   * samples for a decision.
   */
  private static final double MIN_INITIAL_TRIAL_SHARE = 0.25;

  /**
   * The answer of one block to a first pass.
   *
   * @param records number of matching records in the block
   * @param version version of the block's data
   * @param emptyValue the full answer of a block without matching records
   */
  public record FirstAnswer(long records, String version, String emptyValue) {
    private boolean isEmpty() {
      return records == 0;
    }
  }

  /**
   * The result of a completed first pass.
   *
   * @param pruned blocks that are empty and need no full answer
   * @param full blocks to be queried in full, in this order; includes the audited ones
   * @param audited empty blocks that are queried in full to verify the first answer
   */
  public record Outcome(Set<Integer> pruned, List<Integer> full, Set<Integer> audited) {}

  /**
   * The state of one query class, as shown to operators.
   *
   * @param queryClass name of the class
   * @param emptyShare estimated share of empty blocks
   * @param costRatio cost of a first pass as a fraction of the cost of a full pass; 0 while unknown
   * @param paysOff whether two phases were expected to pay off at the last decision
   * @param closed whether pruning is disabled after a failed audit
   * @param planCounts number of plans for each reason, since the start
   */
  public record ClassStatus(
      String queryClass,
      double emptyShare,
      double costRatio,
      boolean paysOff,
      boolean closed,
      Map<Reason, Long> planCounts) {}

  private final Map<String, ClassEstimates> estimatesByClass = new HashMap<>();
  private final BlockSummaries summaries =
      new BlockSummaries(MAX_BLOCKS, MAX_PREDICATES, MAX_SUMMARY_AGE_US);
  private final RandomGenerator random;

  /**
   * Creates a planner.
   *
   * @param settings one entry for each class whose queries may run in two phases
   * @param random random source for the selection of trials and audits; not used by any other
   *     object
   */
  public TwoPhasePlanner(Collection<TwoPhaseSettings> settings, RandomGenerator random) {
    for (TwoPhaseSettings classSettings : settings) {
      estimatesByClass.put(classSettings.queryClass(), new ClassEstimates(classSettings));
    }
    this.random = random;
  }

  /** Returns whether queries of the class may run in two phases. */
  public boolean isEnabled(String queryClass) {
    return estimatesByClass.containsKey(queryClass);
  }

  /**
   * Returns the cost of a first pass as a fraction of the cost of a full pass; 0 while there are
   * too few samples. Two phases must be {@linkplain #isEnabled enabled} for the class.
   */
  public double costRatio(String queryClass) {
    return estimatesByClass.get(queryClass).costRatio();
  }

  /**
   * Plans a query that has arrived.
   *
   * @param nowUs the current time
   * @param queryClass name of the query's class
   * @param shards all shards of the query
   * @param eligible the shards whose replicas all support first passes
   * @param predicate text of the query's predicate
   * @param untilUs the query's latency objective, or its deadline if that is earlier
   * @return the plan; it never covers shards that are not in {@code eligible}
   */
  public TwoPhasePlan plan(
      long nowUs,
      String queryClass,
      Collection<Integer> shards,
      Set<Integer> eligible,
      String predicate,
      long untilUs) {
    ClassEstimates estimates = estimatesByClass.get(queryClass);
    if (estimates == null) {
      return TwoPhasePlan.singlePhase(Reason.NOT_SET);
    }
    TwoPhasePlan plan = plan(nowUs, estimates, shards.size(), eligible, predicate, untilUs);
    estimates.countPlan(plan.reason());
    return plan;
  }

  private TwoPhasePlan plan(
      long nowUs,
      ClassEstimates estimates,
      int blocks,
      Set<Integer> eligible,
      String predicate,
      long untilUs) {
    if (blocks < estimates.settings().minBlocks()) {
      return TwoPhasePlan.singlePhase(Reason.FEW_BLOCKS);
    }
    if (estimates.isClosed(nowUs)) {
      return TwoPhasePlan.singlePhase(Reason.CLOSED);
    }
    if (eligible.isEmpty()) {
      return TwoPhasePlan.singlePhase(Reason.ONE_PHASE_STORES);
    }
    boolean paysOff = estimates.updatePaysOff();
    if (!paysOff && !drawTrial(estimates)) {
      return TwoPhasePlan.singlePhase(Reason.DOES_NOT_PAY);
    }
    long firstPassEndUs = estimates.firstPassEndUs(nowUs, untilUs);
    if (!estimates.hasTimeForFullPass(firstPassEndUs, untilUs)) {
      return TwoPhasePlan.singlePhase(Reason.TOO_LITTLE_TIME);
    }
    // a trial includes every eligible block, because the estimates are computed from its answers
    Set<Integer> firstPass =
        paysOff ? withoutNonEmptyHint(nowUs, eligible, predicate) : new HashSet<>(eligible);
    if (firstPass.isEmpty()) {
      return TwoPhasePlan.singlePhase(Reason.KNOWN_FULL);
    }
    return new TwoPhasePlan(firstPass, firstPassEndUs, paysOff ? Reason.TWO_PHASES : Reason.TRIAL);
  }

  private boolean drawTrial(ClassEstimates estimates) {
    double trialShare = estimates.settings().trialShare();
    return random.nextDouble()
        < (estimates.isSampled() ? trialShare : Math.max(MIN_INITIAL_TRIAL_SHARE, trialShare));
  }

  private Set<Integer> withoutNonEmptyHint(long nowUs, Set<Integer> eligible, String predicate) {
    int feature = BlockSummaries.hash(predicate);
    Set<Integer> shards = new HashSet<>();
    for (int shard : eligible) {
      if (summaries.hint(nowUs, shard, feature) != Hint.SOMETHING) {
        shards.add(shard);
      }
    }
    return shards;
  }

  /** Handles an answer of a first pass, received {@code latencyUs} after its request was sent. */
  public void onFirstAnswer(
      long nowUs,
      String queryClass,
      int shard,
      String predicate,
      FirstAnswer answer,
      long latencyUs) {
    ClassEstimates estimates = estimatesByClass.get(queryClass);
    if (estimates == null) {
      return;
    }
    estimates.onFirstAnswer(nowUs, latencyUs, answer.isEmpty());
    int feature = BlockSummaries.hash(predicate);
    summaries.record(nowUs, shard, answer.version(), feature, answer.isEmpty());
  }

  /** Handles a first answer that did not arrive within {@code waitedUs}. */
  public void onFirstAnswerTimeout(long nowUs, String queryClass, long waitedUs) {
    ClassEstimates estimates = estimatesByClass.get(queryClass);
    if (estimates != null) {
      estimates.onFirstAnswerTimeout(nowUs, waitedUs);
    }
  }

  /**
   * Handles a full answer of a query with or without a first pass, received {@code latencyUs} after
   * its request was sent.
   */
  public void onFullAnswer(long nowUs, String queryClass, long latencyUs) {
    ClassEstimates estimates = estimatesByClass.get(queryClass);
    if (estimates != null) {
      estimates.onFullAnswer(nowUs, latencyUs);
    }
  }

  /**
   * Handles the end of a first pass. A block is pruned only if its own answer within this query
   * reported no matching records. If audits are enabled, at least one block is queried in full. The
   * blocks to be queried in full are ordered by their likelihood of having records, the most likely
   * first.
   *
   * @param nowUs the current time
   * @param queryClass name of the query's class
   * @param predicate text of the query's predicate
   * @param firstPassShards shards of the first pass
   * @param answers the answers that arrived in time, by shard
   */
  public Outcome onFirstPassEnded(
      long nowUs,
      String queryClass,
      String predicate,
      Collection<Integer> firstPassShards,
      Map<Integer, FirstAnswer> answers) {
    ClassEstimates estimates = estimatesByClass.get(queryClass);
    // pruning may have been disabled while this first pass was in flight
    boolean closed = estimates == null || estimates.isClosed(nowUs);
    List<Integer> full = new ArrayList<>();
    Set<Integer> pruned = new HashSet<>();
    Set<Integer> audited = new HashSet<>();
    for (int shard : firstPassShards) {
      FirstAnswer answer = answers.get(shard);
      if (closed || answer == null || !answer.isEmpty()) {
        full.add(shard);
      } else if (random.nextDouble() < estimates.settings().auditShare()) {
        audited.add(shard);
      } else {
        pruned.add(shard);
      }
    }
    boolean allPruned = !firstPassShards.isEmpty() && pruned.size() == firstPassShards.size();
    if (allPruned && estimates.settings().auditShare() > 0) {
      int shard =
          firstPassShards.stream()
              .skip(random.nextInt(firstPassShards.size()))
              .findFirst()
              .orElseThrow();
      pruned.remove(shard);
      audited.add(shard);
    }
    sortByLikelihood(full, nowUs, predicate, answers);
    full.addAll(audited);
    return new Outcome(pruned, full, audited);
  }

  private void sortByLikelihood(
      List<Integer> shards, long nowUs, String predicate, Map<Integer, FirstAnswer> answers) {
    int feature = BlockSummaries.hash(predicate);
    shards.sort(
        (left, right) ->
            Long.compare(
                likelihood(nowUs, right, feature, answers),
                likelihood(nowUs, left, feature, answers)));
  }

  /**
   * Ranks a block by the number of records in its first answer, or by its summary if it has not
   * answered.
   */
  private long likelihood(long nowUs, int shard, int feature, Map<Integer, FirstAnswer> answers) {
    FirstAnswer answer = answers.get(shard);
    if (answer != null) {
      return answer.records();
    }
    return switch (summaries.hint(nowUs, shard, feature)) {
      case SOMETHING -> 1;
      case UNKNOWN -> 0;
      case NOTHING -> -1;
    };
  }

  /**
   * Handles the full answer of an audited block.
   *
   * @param nowUs the current time
   * @param queryClass name of the query's class
   * @param shard the audited block
   * @param confirmed whether the full answer equals the empty value of the block's first answer
   * @return true if this audit failed and pruning is disabled as a result; false if the audit
   *     passed or pruning was already disabled
   */
  public boolean onAuditAnswer(long nowUs, String queryClass, int shard, boolean confirmed) {
    ClassEstimates estimates = estimatesByClass.get(queryClass);
    if (confirmed || estimates == null) {
      return false;
    }
    summaries.forget(shard);
    boolean alreadyClosed = estimates.isClosed(nowUs);
    estimates.close(nowUs);
    return !alreadyClosed;
  }

  /** Discards the summaries of a block after a change of its replicas. */
  public void forget(int shard) {
    summaries.forget(shard);
  }

  /** Returns the state of every class, for operators; the order is unspecified. */
  public List<ClassStatus> status(long nowUs) {
    return estimatesByClass.values().stream().map(estimates -> status(nowUs, estimates)).toList();
  }

  private static ClassStatus status(long nowUs, ClassEstimates estimates) {
    return new ClassStatus(
        estimates.settings().queryClass(),
        estimates.emptyShare(),
        estimates.costRatio(),
        estimates.paysOff(),
        estimates.isClosed(nowUs),
        estimates.planCounts());
  }
}
