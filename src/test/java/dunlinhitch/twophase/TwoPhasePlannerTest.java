package dunlinhitch.twophase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.twophase.TwoPhasePlan.Reason;
import dunlinhitch.twophase.TwoPhasePlanner.FirstAnswer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Which queries run in two phases, and which blocks their first passes prune. */
class TwoPhasePlannerTest {
  private static final String QUERY_CLASS = "free-search";
  private static final long SECOND_US = 1_000_000;
  private static final List<Integer> SHARDS = IntStream.range(0, 6).boxed().toList();
  private long nowUs = SECOND_US;

  private static TwoPhasePlanner planner(double trial, double audit) {
    return new TwoPhasePlanner(
        List.of(new TwoPhaseSettings(QUERY_CLASS, 0.3, 3, trial, audit, 0.05, 10 * SECOND_US)),
        new SplittableRandom(4));
  }

  /** Passes 400 answers of each pass to the planner, with the given share of empty blocks. */
  private void trainEstimates(TwoPhasePlanner planner, double empty, long firstUs, long fullUs) {
    for (int i = 0; i < 400; i++) {
      planner.onFirstAnswer(
          nowUs,
          QUERY_CLASS,
          100 + i,
          "x" + i,
          new FirstAnswer(i % 100 < empty * 100 ? 0 : 3, "v", ""),
          firstUs);
      planner.onFullAnswer(nowUs, QUERY_CLASS, fullUs);
    }
  }

  private TwoPhasePlan plan(TwoPhasePlanner planner, Set<Integer> eligible, long remainingUs) {
    return planner.plan(nowUs, QUERY_CLASS, SHARDS, eligible, "altos", nowUs + remainingUs);
  }

  @Test
  void planNamesTheReasonForASinglePhase() {
    TwoPhasePlanner planner = planner(0, 0);
    Set<Integer> all = Set.copyOf(SHARDS);
    assertEquals(
        Reason.NOT_SET, planner.plan(nowUs, "other", SHARDS, all, "x", nowUs + SECOND_US).reason());
    assertEquals(
        Reason.FEW_BLOCKS,
        planner.plan(nowUs, QUERY_CLASS, List.of(1, 2), all, "x", nowUs + SECOND_US).reason());
    assertEquals(Reason.ONE_PHASE_STORES, plan(planner, Set.of(), SECOND_US).reason());
    trainEstimates(planner, 0.6, 2_000, 80_000);
    TwoPhasePlan plan = plan(planner, all, SECOND_US);
    assertEquals(Reason.TWO_PHASES, plan.reason());
    assertTrue(
        plan.firstPassEndUs() <= nowUs + SECOND_US * 3 / 10,
        "the first pass takes at most its share of the time");
    assertEquals(Reason.TOO_LITTLE_TIME, plan(planner, all, 150_000).reason());
    assertTrue(
        planner.onAuditAnswer(nowUs, QUERY_CLASS, 3, false), "a failed audit disables pruning");
    assertFalse(planner.onAuditAnswer(nowUs, QUERY_CLASS, 3, false), "pruning is already disabled");
    assertEquals(Reason.CLOSED, plan(planner, all, SECOND_US).reason());
    nowUs += 11 * SECOND_US;
    assertEquals(Reason.TWO_PHASES, plan(planner, all, SECOND_US).reason());
    assertEquals(
        Set.of(1, 2),
        plan(planner, Set.of(1, 2), SECOND_US).firstPassShards(),
        "only eligible shards have a first pass");
  }

  @Test
  void trialsSwitchTwoPhasesOnAndOff() {
    TwoPhasePlanner planner = planner(0.1, 0);
    Set<Integer> all = Set.copyOf(SHARDS);
    trainEstimates(planner, 0.1, 20_000, 80_000);
    long trials =
        IntStream.range(0, 1_000).filter(i -> plan(planner, all, SECOND_US).twoPhases()).count();
    assertTrue(trials > 60 && trials < 140, "trials: " + trials);
    trainEstimates(planner, 0.8, 20_000, 80_000);
    assertEquals(Reason.TWO_PHASES, plan(planner, all, SECOND_US).reason());
    TwoPhasePlanner expensivePlanner = planner(0, 0);
    trainEstimates(expensivePlanner, 0.6, 70_000, 80_000);
    assertEquals(Reason.DOES_NOT_PAY, plan(expensivePlanner, all, SECOND_US).reason());
  }

  /**
   * If both passes are queued, the ratio of their latencies does not reflect the cost of a first
   * pass.
   */
  @Test
  void queueingDoesNotRaiseTheCostOfAFirstPass() {
    TwoPhasePlanner planner = planner(0, 0);
    trainEstimates(planner, 0.6, 8_000, 80_000);
    assertEquals(0.1, planner.costRatio(QUERY_CLASS), 0.02);
    nowUs += 50 * SECOND_US;
    trainEstimates(planner, 0.6, 408_000, 480_000);
    trainEstimates(planner, 0.6, 408_000, 480_000);
    assertEquals(0.1, planner.costRatio(QUERY_CLASS), 0.02);
    assertEquals(Reason.TWO_PHASES, plan(planner, Set.copyOf(SHARDS), 10 * SECOND_US).reason());
  }

  @Test
  void summariesOrderBlocksButNeverPruneThem() {
    TwoPhasePlanner planner = planner(0, 0);
    Set<Integer> all = Set.copyOf(SHARDS);
    trainEstimates(planner, 0.6, 2_000, 80_000);
    planner.onFirstAnswer(nowUs, QUERY_CLASS, 2, "altos", new FirstAnswer(7, "v1", ""), 2_000);
    planner.onFirstAnswer(nowUs, QUERY_CLASS, 4, "altos", new FirstAnswer(0, "v1", ""), 2_000);
    assertEquals(
        Set.of(0, 1, 3, 4, 5),
        plan(planner, all, SECOND_US).firstPassShards(),
        "a block known to have records skips the first pass");
    TwoPhasePlanner.Outcome outcome =
        planner.onFirstPassEnded(
            nowUs, QUERY_CLASS, "altos", List.of(0, 4, 5), Map.of(5, new FirstAnswer(9, "v1", "")));
    assertEquals(Set.of(), outcome.pruned(), "a summary alone does not prune a block");
    assertEquals(
        List.of(5, 0, 4), outcome.full(), "the blocks most likely to have records come first");
    nowUs += 40 * SECOND_US;
    assertEquals(
        all, plan(planner, all, SECOND_US).firstPassShards(), "an expired summary gives no hint");
  }

  /**
   * For arbitrary answers, a block is pruned only if its own answer within this query was empty.
   */
  @Property(tries = 300, seed = "20261201")
  void onlyAnEmptyFirstAnswerPrunesABlock(
      @ForAll List<@IntRange(min = -1, max = 2) Integer> recordCounts, @ForAll long seed) {
    TwoPhasePlanner planner =
        new TwoPhasePlanner(
            List.of(new TwoPhaseSettings(QUERY_CLASS, 0.3, 3, 0, 0.2, 0, SECOND_US)),
            new SplittableRandom(seed));
    Map<Integer, FirstAnswer> answers = new HashMap<>();
    for (int i = 0; i < recordCounts.size(); i++) {
      planner.onFirstAnswer(SECOND_US, QUERY_CLASS, i, "p", new FirstAnswer(0, "v", ""), 10);
      if (recordCounts.get(i) >= 0) {
        answers.put(i, new FirstAnswer(recordCounts.get(i), "v", "none"));
      }
    }
    List<Integer> shards = IntStream.range(0, recordCounts.size()).boxed().toList();
    TwoPhasePlanner.Outcome outcome =
        planner.onFirstPassEnded(2 * SECOND_US, QUERY_CLASS, "p", shards, answers);
    outcome.pruned().forEach(shard -> assertEquals(0, answers.get(shard).records()));
    Set<Integer> queriedOrPruned = outcome.full().stream().collect(Collectors.toSet());
    assertEquals(outcome.full().size(), queriedOrPruned.size());
    queriedOrPruned.addAll(outcome.pruned());
    assertEquals(
        Set.copyOf(shards), queriedOrPruned, "each block is either pruned or queried, once");
    assertTrue(
        shards.isEmpty() || !outcome.full().isEmpty(), "at least one block is queried in full");
    assertTrue(outcome.full().containsAll(outcome.audited()));
  }
}
