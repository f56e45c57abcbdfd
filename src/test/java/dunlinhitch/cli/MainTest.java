package dunlinhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Command selection, error output and exit codes. */
class MainTest {
  @TempDir private Path dir;

  /** Runs a command that must fail with exit code 2, and returns its standard error. */
  static String errorOutput(String... arguments) {
    PrintStream before = System.err;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setErr(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      assertEquals(2, Main.commandLine().execute(arguments));
    } finally {
      System.setErr(before);
    }
    return output.toString(StandardCharsets.UTF_8);
  }

  @Test
  void reportsInvalidInputInOneLine() throws IOException {
    Path file = dir.resolve("config.json");
    for (String text :
        List.of(
            "{",
            "{}",
            "{\"settings\":{\"Classes\":[]},\"listen\":\"x\"}",
            "{\"settings\":{},\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\"}")) {
      Files.writeString(file, text);
      String output = errorOutput("check", "--config", file.toString());
      assertEquals(1, output.lines().count(), output);
      assertTrue(output.startsWith("dunlinhitch: "), output);
    }
    assertEquals(
        1, errorOutput("check", "--config", dir.resolve("none").toString()).lines().count());
    assertEquals(1, errorOutput("nonsense").lines().count());
    assertEquals(1, errorOutput("serve", "--bogus").lines().count());
    assertEquals(1, errorOutput("experiments", "soak", "--seeds", "x").lines().count());
  }

  /** Guards against arguments that have no effect: a missing file, a file of arguments. */
  @Test
  void argumentsWithoutAnEffectAreRefused() throws IOException {
    String file = Files.writeString(dir.resolve("config.json"), "{}").toString();
    String missing = dir.resolve("missing.conf").toString();
    for (String command : List.of("serve", "check")) {
      assertEquals(
          "dunlinhitch: file not found: " + missing + "\n",
          errorOutput(command, "--config", file, "--conf", missing));
      Path arguments = Files.writeString(dir.resolve("arguments"), "--help");
      assertEquals(1, errorOutput(command, "@" + arguments).lines().count());
    }
  }

  /** The build archives the classes that a warm-up loads, so the warm-up must succeed. */
  @ParameterizedTest
  @ValueSource(strings = {"warm-up", "rehearse"})
  void warmUpServesItsQueries(String command) {
    assertEquals(0, Main.commandLine().execute(command));
  }

  /** Former names are still accepted but not listed by help. */
  @Test
  void acceptsFormerAndAlternativeCommandNames() {
    CommandLine line = Main.commandLine();
    assertEquals(0, line.execute("rehearse", "--help"));
    assertEquals(0, line.execute("simulate", "--help"));
    assertFalse(line.getUsageMessage().contains("rehearse"));
    assertTrue(line.getUsageMessage().contains("warm-up"));
  }
}
