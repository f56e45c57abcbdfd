package dunlinhitch.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dunlinhitch.config.Config.ConfigException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** What is taken of a file that was replaced, and what is not. */
class ConfigFileTest {
  private static final String ONE =
      "{\"Name\":\"a\",\"DeadlineUs\":1000000,\"OnTimeUs\":500000,\"Idempotency\":\"free\"}";
  private static final String TWO =
      "{\"Name\":\"b\",\"DeadlineUs\":2000000,\"OnTimeUs\":500000,\"Idempotency\":\"free\"}";
  @TempDir private Path dir;

  private static String text(String classes, String limits) {
    return "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"settings\":{\"Classes\":["
        + classes
        + "],\"Limits\":{"
        + limits
        + "},\"FailureDomains\":[\"x\"]}}";
  }

  @Test
  void aBrokenFileChangesNothingAndAWholeOneAll() throws IOException {
    Path path = dir.resolve("config.json");
    String whole = text(ONE, "\"MaxAttempts\":4");
    Files.writeString(path, whole);
    ConfigFile file =
        new ConfigFile(path, dir.resolve("none"), Map.of("ROUTER_DISCOVERY", "127.0.0.1:3"));
    assertEquals(3, file.read().discovery().port());
    for (String broken :
        List.of(
            "",
            whole.substring(0, whole.length() - 9),
            "[]",
            text(ONE, ""),
            text(ONE, "\"MaxAttempts\":0"),
            text(ONE, "\"MaxAttempts\":null"),
            text(ONE, "\"MaxAttempts\":\"4\""),
            text(ONE, "\"MaxAttempts\":1e300"),
            text("", "\"MaxAttempts\":4"),
            text(ONE.replace("\"DeadlineUs\":1000000,", ""), "\"MaxAttempts\":4"),
            text(ONE.replace("1000000", "-5"), "\"MaxAttempts\":4"),
            text(ONE.replace("1000000", "\"soon\""), "\"MaxAttempts\":4"),
            text(ONE + "," + TWO.replace("\"Idempotency\"", "\"Other\""), "\"MaxAttempts\":4"),
            whole.replace("\"discovery\"", "\"other\""),
            whole.replace("[\"x\"]", "[\"x\",\"y\"]"))) {
      Files.writeString(path, broken);
      assertThrows(ConfigException.class, file::again, broken);
    }
    Files.writeString(path, text(TWO + "," + ONE, "\"MaxAttempts\":2,\"MostHeld\":7"));
    Config taken = file.again();
    assertEquals(
        List.of("b", "a"), taken.settings().classes().stream().map(c -> c.name()).toList());
    assertEquals(2, taken.settings().limits().maxAttempts());
    assertEquals(2, taken.discovery().port());
    Files.writeString(path, whole); // it lacks a key of the file that is held now
    assertThrows(ConfigException.class, file::again);
  }
}
