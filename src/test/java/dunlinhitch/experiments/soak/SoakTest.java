package dunlinhitch.experiments.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Short soak runs of two seeds on broker processes. Timed rules are checked only by the command
 * {@code soak}, because a slow machine may cause violations although the program is correct.
 */
class SoakTest {
  private static final int SECONDS = 8;
  @TempDir private Path directory;

  @ParameterizedTest
  @ValueSource(longs = {1, 3})
  void untimedRulesAreNotViolated(long seed) throws Exception {
    SoakPlan plan = SoakPlan.draw(seed, SECONDS);
    List<Observation> seen = SoakRun.play(plan, directory).observations();
    List<SoakChecker.Breach> untimed =
        SoakChecker.check(plan.limits(), seen).stream()
            .filter(breach -> !breach.rule().isTimed())
            .toList();
    assertEquals(List.of(), untimed);
    assertTrue(seen.stream().anyMatch(Observation.AttemptSent.class::isInstance));
  }

  @Test
  void seedDeterminesThePlan() {
    assertEquals(SoakPlan.draw(7, 20), SoakPlan.draw(7, 20));
    assertNotEquals(SoakPlan.draw(7, 20), SoakPlan.draw(8, 20));
  }
}
