package dunlinhitch.experiments.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays the recorded schedules of violations that have been fixed, simulates a range of seeds and
 * verifies that the checker detects each injected defect.
 */
class SimulationTest {
  private static final Path SCHEDULES = Path.of("src/test/resources/stories");

  static Stream<Path> schedules() throws IOException {
    try (Stream<Path> files = Files.list(SCHEDULES)) {
      return files.filter(f -> f.toString().endsWith(".day")).sorted().toList().stream();
    }
  }

  @ParameterizedTest
  @MethodSource("schedules")
  void recordedScheduleHasNoViolation(Path schedule) throws IOException {
    SimulationResult result = Simulation.play(SimulationSchedules.parse(schedule, null), false);
    assertNull(
        result.violation(), () -> result.violation().rule() + "\n" + result.violation().trace());
    assertTrue(result.offeredWeight() > 0);
  }

  @Test
  void fiftySeedsHaveNoViolation() {
    SimulationSchedules.SearchResult found = SimulationSchedules.search(1, 50, Defect.NONE, false);
    assertEquals(
        List.of(),
        found.violations().stream()
            .map(r -> r.schedule().seed() + ": " + r.violation().rule())
            .toList());
    assertEquals(50, found.played());
    assertTrue(
        found.meanShare() > 0.9, "mean served share of the offered weight: " + found.meanShare());
  }

  @ParameterizedTest
  @EnumSource(value = Defect.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void everyInjectedDefectIsDetected(Defect defect) {
    assertTrue(
        !SimulationSchedules.search(1, 200, defect, true).violations().isEmpty(),
        "no seed detects the injected defect " + defect);
  }

  /** A seed gives the same trace in repeated runs and the same digest in another process. */
  @Test
  void sameSeedGivesSameTrace() throws Exception {
    SimulationSchedule schedule = SimulationSchedules.generate(7, Defect.NONE);
    SimulationResult one = Simulation.play(schedule, true);
    SimulationResult two = Simulation.play(schedule, true);
    assertEquals(one.trace(), two.trace());
    assertEquals(one.digest(), two.digest());
    Process other =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinhitch.cli.Main",
                "lab",
                "run",
                "--seed",
                "7")
            .start();
    String output = new String(other.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(0, other.waitFor(), output);
    assertTrue(output.contains("digest " + one.digest().substring(0, 16)), output);
  }

  @Test
  void shrinkingKeepsTheViolationAndFormatRoundTrips() {
    SimulationSchedule schedule = SimulationSchedules.generate(3, Defect.WRONG_SHARD);
    SimulationSchedule shrunk = SimulationSchedules.shrink(schedule);
    assertTrue(shrunk.faults().isEmpty() && shrunk.seconds() < 60, shrunk.toString());
    SimulationResult result = Simulation.play(shrunk, false);
    assertNotNull(result.violation());
    assertEquals("an attempt at a store that does not hold the shard", result.violation().rule());
    assertTrue(result.violation().trace().contains(result.violation().subject()));
    SimulationSchedule again =
        SimulationSchedules.parse(
            Path.of("x"), SimulationSchedules.format(schedule).lines().toList(), null);
    assertEquals(Simulation.play(schedule, false).digest(), Simulation.play(again, false).digest());
    assertTrue(
        assertThrows(
                IllegalArgumentException.class,
                () -> Fault.parse(Path.of("x"), List.of("", "at 3s craash s1")))
            .getMessage()
            .startsWith("x:2: at 3s craash s1: unknown fault kind"));
    assertTrue(
        assertThrows(IllegalArgumentException.class, () -> Fault.parse(Path.of("x"), List.of("at")))
            .getMessage()
            .contains("the line is incomplete"));
  }
}
