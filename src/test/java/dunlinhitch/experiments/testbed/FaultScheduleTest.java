package dunlinhitch.experiments.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class FaultScheduleTest {
  private static final List<String> NAMES = List.of("n0", "n1", "s0-0", "d");

  @Test
  void parsesEveryKindOfFault() {
    List<String> lines =
        List.of(
            "at 2s..7s cut n0 s0-0",
            "at 2s..7s alone n1",
            "at 1500ms..7s mute n1 s0-0",
            "at 2s..7s lose n1 n0 30%",
            "at 2s..7s late n1 s0-0 200ms",
            "at 2s..9s slow n1 s0-0 5ms",
            "at 4s reset n1",
            "at 4s kill n1",
            "at 4s end n0",
            "at 8s start n1");
    FaultSchedule schedule = FaultSchedule.parse("f", lines, NAMES);
    assertEquals(lines, schedule.lines());
    assertEquals(9_000, schedule.lastMs());
    assertEquals(List.of(), FaultSchedule.parse("f", List.of("# nothing", ""), NAMES).lines());
  }

  /** Each message quotes the line and states what is expected. */
  @Test
  void rejectsInvalidLinesWithPlaceAndRemedy() {
    for (String[] bad :
        new String[][] {
          {"at 2 kill n1", "at TIME"},
          {"at 2s kill n9", "unknown target: n9"},
          {"at 2s kil n1", "unknown fault: kil;"},
          {"at 2s cut n1", "requires an end"},
          {"at 2s..3s kill n1", "takes a single time"},
          {"at 3s..2s cut n1", "end after it begins"},
          {"at 2s..3s lose n0 n1 300%", "expected a share"},
          {"at 2s..3s late n0 n1 5", "expected a time"},
          {"at 2s..3s mute n0", "requires 2 target"},
          {"at 2s kill s0-0", "only a broker can be"},
          {"at 2s..500s cut n1", "within 120 s"}
        }) {
      String message =
          assertThrows(
                  IllegalArgumentException.class,
                  () -> FaultSchedule.parse("f", List.of("# a comment", bad[0]), NAMES))
              .getMessage();
      assertTrue(message.startsWith("f:2: " + bad[0]) && message.contains(bad[1]), message);
    }
  }

  /**
   * The same seed gives the same schedule. A schedule ends within the given time and restarts every
   * broker that it kills.
   */
  @Test
  void randomScheduleIsReproducibleAndEndsWithAllBrokersRunning() {
    for (long seed = 0; seed < 200; seed++) {
      FaultSchedule schedule = FaultSchedule.random(seed, 12, List.of("n0", "n1"), List.of("s0-0"));
      assertEquals(
          schedule.lines(),
          FaultSchedule.random(seed, 12, List.of("n0", "n1"), List.of("s0-0")).lines());
      assertTrue(schedule.lastMs() < 12_000, schedule.lines().toString());
      long kills = schedule.lines().stream().filter(line -> line.contains("kill")).count();
      assertEquals(kills, schedule.lines().stream().filter(line -> line.contains("start")).count());
    }
  }
}
