package dunlinhitch.twophase;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.twophase.TwoPhasePlan.Why;
import dunlinhitch.twophase.TwoPhasePlanner.First;
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

/** Whether a query goes in two phases, and what is spared. */
class TwoPhasePlannerTest {
  private static final String CLASS = "free-search";
  private static final long S = 1_000_000;
  private static final List<Integer> SHARDS = IntStream.range(0, 6).boxed().toList();
  private long now = S;

  private static TwoPhasePlanner phases(double trial, double audit) {
    return new TwoPhasePlanner(
        List.of(new TwoPhaseSettings(CLASS, 0.3, 3, trial, audit, 0.05, 10 * S)),
        new SplittableRandom(4));
  }

  /** So many answers of each pass, with that share of empty blocks. */
  private void learn(TwoPhasePlanner phases, double empty, long firstUs, long fullUs) {
    for (int i = 0; i < 400; i++) {
      phases.firstCame(
          now, CLASS, 100 + i, "x" + i, new First(i % 100 < empty * 100 ? 0 : 3, "v", ""), firstUs);
      phases.fullCame(now, CLASS, fullUs);
    }
  }

  private TwoPhasePlan ask(TwoPhasePlanner phases, Set<Integer> able, long leftUs) {
    return phases.arrived(now, CLASS, SHARDS, able, "altos", now + leftUs);
  }

  @Test
  void itSaysWhyAQueryGoesInOnePhase() {
    TwoPhasePlanner phases = phases(0, 0);
    Set<Integer> all = Set.copyOf(SHARDS);
    assertEquals(Why.NOT_SET, phases.arrived(now, "other", SHARDS, all, "x", now + S).why());
    assertEquals(
        Why.FEW_BLOCKS, phases.arrived(now, CLASS, List.of(1, 2), all, "x", now + S).why());
    assertEquals(Why.ONE_PHASE_STORES, ask(phases, Set.of(), S).why());
    learn(phases, 0.6, 2_000, 80_000);
    TwoPhasePlan plan = ask(phases, all, S);
    assertEquals(Why.TWO_PHASES, plan.why());
    assertTrue(plan.firstEndUs() <= now + S * 3 / 10, "a stated share of the time");
    assertEquals(Why.TOO_LITTLE_TIME, ask(phases, all, 150_000).why());
    assertTrue(phases.audited(now, CLASS, 3, false), "it closes");
    assertFalse(phases.audited(now, CLASS, 3, false), "once");
    assertEquals(Why.CLOSED, ask(phases, all, S).why());
    now += 11 * S;
    assertEquals(Why.TWO_PHASES, ask(phases, all, S).why());
    assertEquals(Set.of(1, 2), ask(phases, Set.of(1, 2), S).first(), "the fleet may be mixed");
  }

  @Test
  void itSwitchesItselfOffAndOnByItsTrials() {
    TwoPhasePlanner phases = phases(0.1, 0);
    Set<Integer> all = Set.copyOf(SHARDS);
    learn(phases, 0.1, 20_000, 80_000);
    long tried = IntStream.range(0, 1_000).filter(i -> ask(phases, all, S).twoPhases()).count();
    assertTrue(tried > 60 && tried < 140, "trials: " + tried);
    learn(phases, 0.8, 20_000, 80_000);
    assertEquals(Why.TWO_PHASES, ask(phases, all, S).why());
    TwoPhasePlanner dear = phases(0, 0);
    learn(dear, 0.6, 70_000, 80_000);
    assertEquals(Why.DOES_NOT_PAY, ask(dear, all, S).why());
  }

  /** Where both passes wait in one queue the ratio of their times says nothing of the price. */
  @Test
  void aQueueIsNotTakenForAPrice() {
    TwoPhasePlanner phases = phases(0, 0);
    learn(phases, 0.6, 8_000, 80_000);
    assertEquals(0.1, phases.price(CLASS), 0.02);
    now += 50 * S;
    learn(phases, 0.6, 408_000, 480_000);
    learn(phases, 0.6, 408_000, 480_000);
    assertEquals(0.1, phases.price(CLASS), 0.02);
    assertEquals(Why.TWO_PHASES, ask(phases, Set.copyOf(SHARDS), 10 * S).why());
  }

  @Test
  void summariesOrderTheWorkAndNeverSpareABlock() {
    TwoPhasePlanner phases = phases(0, 0);
    Set<Integer> all = Set.copyOf(SHARDS);
    learn(phases, 0.6, 2_000, 80_000);
    phases.firstCame(now, CLASS, 2, "altos", new First(7, "v1", ""), 2_000);
    phases.firstCame(now, CLASS, 4, "altos", new First(0, "v1", ""), 2_000);
    assertEquals(
        Set.of(0, 1, 3, 4, 5),
        ask(phases, all, S).first(),
        "what has something goes in full at once");
    TwoPhasePlanner.Outcome outcome =
        phases.over(now, CLASS, "altos", List.of(0, 4, 5), Map.of(5, new First(9, "v1", "")));
    assertEquals(Set.of(), outcome.pruned(), "known to have nothing is not said to have nothing");
    assertEquals(List.of(5, 0, 4), outcome.full(), "the likeliest first");
    now += 40 * S;
    assertEquals(all, ask(phases, all, S).first(), "an old summary says nothing");
  }

  /**
   * Whatever the answers: a block is spared only if its store said within this query that it has
   * nothing.
   */
  @Property(tries = 300, seed = "20261201")
  void onlyAFirstAnswerSpares(
      @ForAll List<@IntRange(min = -1, max = 2) Integer> said, @ForAll long seed) {
    TwoPhasePlanner phases =
        new TwoPhasePlanner(
            List.of(new TwoPhaseSettings(CLASS, 0.3, 3, 0, 0.2, 0, S)), new SplittableRandom(seed));
    Map<Integer, First> answers = new HashMap<>();
    for (int i = 0; i < said.size(); i++) {
      phases.firstCame(S, CLASS, i, "p", new First(0, "v", ""), 10);
      if (said.get(i) >= 0) {
        answers.put(i, new First(said.get(i), "v", "none"));
      }
    }
    List<Integer> asked = IntStream.range(0, said.size()).boxed().toList();
    TwoPhasePlanner.Outcome outcome = phases.over(2 * S, CLASS, "p", asked, answers);
    outcome.pruned().forEach(shard -> assertEquals(0, answers.get(shard).records()));
    Set<Integer> together = outcome.full().stream().collect(Collectors.toSet());
    assertEquals(outcome.full().size(), together.size());
    together.addAll(outcome.pruned());
    assertEquals(Set.copyOf(asked), together, "each block once");
    assertTrue(asked.isEmpty() || !outcome.full().isEmpty(), "never all of them without a look");
    assertTrue(outcome.full().containsAll(outcome.audited()));
  }
}
