package dunlinhitch.experiments.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class RigScriptTest {
  private static final List<String> NAMES = List.of("n0", "n1", "s0-0", "d");

  @Test
  void allThatItKnowsIsRead() {
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
    RigScript script = RigScript.read("f", lines, NAMES);
    assertEquals(lines, script.lines());
    assertEquals(9_000, script.lastMs());
    assertEquals(List.of(), RigScript.read("f", List.of("# nothing", ""), NAMES).lines());
  }

  /** Each says which line, and what would do. */
  @Test
  void whatItCanNotUseIsNamed() {
    for (String[] bad :
        new String[][] {
          {"at 2 kill n1", "at TIME"},
          {"at 2s kill n9", "there is no n9"},
          {"at 2s kil n1", "no such trouble: kil"},
          {"at 2s cut n1", "has an end"},
          {"at 2s..3s kill n1", "has no end"},
          {"at 3s..2s cut n1", "ends after it begins"},
          {"at 2s..3s lose n0 n1 300%", "a share is"},
          {"at 2s..3s late n0 n1 5", "a time is"},
          {"at 2s..3s mute n0", "names 2"},
          {"at 2s kill s0-0", "only a broker"},
          {"at 2s..500s cut n1", "within 120 s"}
        }) {
      String said =
          assertThrows(
                  IllegalArgumentException.class,
                  () -> RigScript.read("f", List.of("# a comment", bad[0]), NAMES))
              .getMessage();
      assertTrue(said.startsWith("f:2: " + bad[0]) && said.contains(bad[1]), said);
    }
  }

  /** A drawn one is the same for the same seed, over before its end, and leaves every broker up. */
  @Test
  void aDrawnOneEndsWell() {
    for (long seed = 0; seed < 200; seed++) {
      RigScript script = RigScript.drawn(seed, 12, List.of("n0", "n1"), List.of("s0-0"));
      assertEquals(
          script.lines(), RigScript.drawn(seed, 12, List.of("n0", "n1"), List.of("s0-0")).lines());
      assertTrue(script.lastMs() < 12_000, script.lines().toString());
      long kills = script.lines().stream().filter(line -> line.contains("kill")).count();
      assertEquals(kills, script.lines().stream().filter(line -> line.contains("start")).count());
    }
  }
}
