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

/** Simulated days: found breaches that were mended, fixed seeds, and that the checkers can fail. */
class StoriesTest {
  private static final Path STORIES = Path.of("src/test/resources/stories");

  static Stream<Path> stories() throws IOException {
    try (Stream<Path> files = Files.list(STORIES)) {
      return files.filter(f -> f.toString().endsWith(".day")).sorted().toList().stream();
    }
  }

  @ParameterizedTest
  @MethodSource("stories")
  void aMendedBreachStaysMended(Path story) throws IOException {
    World.Result result = World.play(Days.read(story, null), false);
    assertNull(result.breach(), () -> result.breach().rule() + "\n" + result.breach().story());
    assertTrue(result.asked() > 0);
  }

  @Test
  void fiftySeedsKeepEveryRule() {
    Days.Found found = Days.search(1, 50, Defect.NONE, false);
    assertEquals(
        List.of(),
        found.breaches().stream().map(r -> r.day().seed() + ": " + r.breach().rule()).toList());
    assertEquals(50, found.played());
    assertTrue(found.meanShare() > 0.9, "worth served: " + found.meanShare());
  }

  @ParameterizedTest
  @EnumSource(value = Defect.class, names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void everyDefectPutInIsFound(Defect defect) {
    assertTrue(!Days.search(1, 200, defect, true).breaches().isEmpty(), defect + " goes unseen");
  }

  /** The same lines from the same seed, here and in a process of its own. */
  @Test
  void aSeedIsTheSameDayByteForByte() throws Exception {
    World.Day day = Days.drawn(7, Defect.NONE);
    World.Result one = World.play(day, true);
    World.Result two = World.play(day, true);
    assertEquals(one.lines(), two.lines());
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
    String said = new String(other.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(0, other.waitFor(), said);
    assertTrue(said.contains("digest " + one.digest().substring(0, 16)), said);
  }

  @Test
  void aBreachIsMadeShortAndAScriptIsReadAsItIsWritten() {
    World.Day day = Days.drawn(3, Defect.WRONG_SHARD);
    World.Day shrunk = Days.shrunk(day);
    assertTrue(shrunk.faults().isEmpty() && shrunk.seconds() < 60, shrunk.toString());
    World.Result result = World.play(shrunk, false);
    assertNotNull(result.breach());
    assertEquals("a part to a store that does not hold its shard", result.breach().rule());
    assertTrue(result.breach().story().contains(result.breach().subject()));
    World.Day again = Days.read(Path.of("x"), Days.written(day).lines().toList(), null);
    assertEquals(World.play(day, false).digest(), World.play(again, false).digest());
    assertTrue(
        assertThrows(
                IllegalArgumentException.class,
                () -> Fault.read(Path.of("x"), List.of("", "at 3s craash s1")))
            .getMessage()
            .startsWith("x:2: at 3s craash s1: no such trouble"));
    assertTrue(
        assertThrows(IllegalArgumentException.class, () -> Fault.read(Path.of("x"), List.of("at")))
            .getMessage()
            .contains("something is missing"));
  }
}
