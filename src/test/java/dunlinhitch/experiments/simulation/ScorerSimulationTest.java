package dunlinhitch.experiments.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.scoring.DampingSettings;
import dunlinhitch.scoring.ScoringSettings;
import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import dunlinhitch.scoring.api.Scorer;
import dunlinhitch.scoring.shipped.LatencyRatio;
import java.util.Collections;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

class ScorerSimulationTest {
  private static final long SECOND_US = 1_000_000;
  private static final ScoringSettings UNDAMPED =
      new ScoringSettings(
          ScoringSettings.STANDARD.weights(), new DampingSettings(0.1, 0.05, 0), 250_000, 64);

  private static ScorerSimulation simulate(
      Supplier<Scorer> scorer, ScoringSettings rule, boolean shared) {
    ScorerSimulation simulation =
        new ScorerSimulation(
            new ScorerSimulation.Plan(
                5, 2, 6, 20_000, 1.0 / 6, 0.7, scorer, rule, shared, true, 2 * SECOND_US),
            3);
    simulation.runUntil(20 * SECOND_US);
    return simulation;
  }

  /** A scorer that returns no judgement for any store. */
  private static final class NoOpinionScorer implements Scorer {
    @Override
    public int api() {
      return 1;
    }

    @Override
    public String name() {
      return "silent";
    }

    @Override
    public String version() {
      return "1";
    }

    @Override
    public List<Judgement> judge(Round round) {
      return Collections.nCopies(round.candidates().size(), Judgement.NONE);
    }
  }

  @Test
  void scorerWithoutJudgementsLeavesSelectionUnchanged() {
    List<Integer> without = simulate(null, UNDAMPED, false).selectedStores();
    assertTrue(without.size() > 1_000);
    assertEquals(without, simulate(NoOpinionScorer::new, UNDAMPED, false).selectedStores());
  }

  @Test
  void sharedWeightsAvoidStoresThatUnderreportLatency() {
    double alone =
        simulate(null, UNDAMPED, false).shareWithinObjective(10 * SECOND_US, 18 * SECOND_US, false);
    double shared =
        simulate(LatencyRatio::new, ScoringSettings.STANDARD, true)
            .shareWithinObjective(10 * SECOND_US, 18 * SECOND_US, false);
    assertTrue(
        shared > alone,
        "share within the objective: " + shared + " with shared weights, " + alone + " without");
  }
}
