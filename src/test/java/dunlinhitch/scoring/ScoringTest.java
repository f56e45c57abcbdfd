package dunlinhitch.scoring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.scoring.api.Ending;
import dunlinhitch.scoring.api.Judgement;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ScoringTest {
  private static final ScorerIdentity SCORER = new ScorerIdentity("pace", "1", "{}");
  private static final ScoringSettings SETTINGS = ScoringSettings.STANDARD;
  private static final ScoringSettings WITHOUT_OFFSETS =
      new ScoringSettings(
          WeightMergeSettings.STANDARD, new DampingSettings(0.1, 0.05, 0), 250_000, 64);

  private static Scoring scoring(ScoringSettings settings) {
    Scoring scoring =
        new Scoring("me", SCORER, settings, List.of(new Scoring.QueryClass("a", 100_000)), 7);
    scoring.updateEndpoints(endpoints(0));
    return scoring;
  }

  private static List<EndpointSnapshot> endpoints(long startedMs) {
    return List.of(endpoint(0, "s0", 0), endpoint(1, "s1", startedMs));
  }

  private static EndpointSnapshot endpoint(int server, String store, long startedMs) {
    return new EndpointSnapshot(server, store, 0, "z", true, 1, startedMs, 0, List.of(), 0);
  }

  private static String runRound(Scoring scoring, long nowUs, Judgement... judgements) {
    return scoring.applyJudgements(
        nowUs, scoring.rounds(nowUs, nowUs), List.of(Arrays.asList(judgements)));
  }

  @Property(tries = 200)
  void factorsMoveByAtMostOneStepAndStayWithinBounds(@ForAll long seed) {
    Random random = new Random(seed);
    Scoring scoring = scoring(SETTINGS);
    runRound(scoring, 1, Judgement.NONE, Judgement.NONE);
    for (int round = 2; round < 100; round++) {
      FactorTable before = scoring.factors();
      assertEquals(
          "",
          runRound(
              scoring,
              round,
              Judgement.of(Math.exp(20 * random.nextGaussian())),
              Judgement.of(1e300)));
      for (int server = 0; server < 2; server++) {
        double after = scoring.factors().factor(server, 0);
        assertTrue(after >= 0.25 && after <= 4, "factor " + after);
        assertTrue(
            Math.abs(Math.log(after / before.factor(server, 0)))
                <= SETTINGS.damping().step() + 1e-9);
      }
    }
  }

  @Test
  void invalidJudgementsChangeNothing() {
    Scoring scoring = scoring(SETTINGS);
    runRound(scoring, 1, Judgement.of(2), Judgement.of(2));
    FactorTable before = scoring.factors();
    for (Judgement invalid :
        new Judgement[] {
          null,
          Judgement.of(Double.NaN),
          Judgement.of(0),
          Judgement.of(Double.POSITIVE_INFINITY),
          new Judgement(1, -1, 0),
          new Judgement(1, 1, -1),
          new Judgement(1, 1, Double.NaN)
        }) {
      assertFalse(runRound(scoring, 2, Judgement.of(4), invalid).isEmpty());
    }
    assertFalse(runRound(scoring, 2, Judgement.of(4)).isEmpty());
    assertSame(before, scoring.factors());
  }

  @Test
  void emptyTableLeavesLoadsUnchanged() {
    Random random = new Random(1);
    for (int i = 0; i < 1_000; i++) {
      double load = random.nextDouble() * 1e9;
      assertEquals(
          load, load * FactorTable.NONE.factor(random.nextInt(100) - 1, random.nextInt(4) - 1));
    }
  }

  /**
   * Evidence is limited to the number of attempts shown to the scorer, and attempts sent to an
   * earlier incarnation of an endpoint are not shown.
   */
  @Test
  void evidenceIsLimitedToTheAttemptsShown() {
    Scoring scoring = scoring(SETTINGS);
    scoring.rounds(1, 1);
    scoring.onAttemptCompleted("s1", 0, new Ending(Ending.Outcome.ANSWERED, 10, 2, 2));
    runRound(scoring, 20, Judgement.NONE, new Judgement(1, 2, 1e9));
    ReplicatedEntry<WeightKey, Weight> entry = scoring.weights().since(0, 9).get(0);
    assertEquals(1, scoring.weights().since(0, 9).size());
    assertEquals(1, entry.value().evidence());
    scoring.updateEndpoints(endpoints(5));
    scoring.rounds(30, 30);
    scoring.onAttemptCompleted("s1", 0, new Ending(Ending.Outcome.ANSWERED, 40, 15, 2));
    assertEquals(List.of(), scoring.rounds(50, 50).get(0).candidates().get(1).endings());
  }

  @Test
  void newIncarnationOfAnEndpointStartsWithTheNeutralFactor() {
    Scoring scoring = scoring(WITHOUT_OFFSETS);
    runRound(scoring, 1, Judgement.NONE, Judgement.of(4));
    assertEquals(4, scoring.factors().factor(1, 0), 1e-9);
    scoring.updateEndpoints(endpoints(5));
    runRound(scoring, 2, Judgement.NONE, Judgement.NONE);
    assertEquals(1, scoring.factors().factor(1, 0), 1e-9);
  }
}
