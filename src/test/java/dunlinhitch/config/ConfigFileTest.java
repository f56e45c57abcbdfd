package dunlinhitch.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dunlinhitch.config.Config.ConfigException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A reload accepts valid changes of the configuration file and rejects all others. */
class ConfigFileTest {
  private static final String CLASS_A =
      "{\"Name\":\"a\",\"DeadlineUs\":1000000,\"OnTimeUs\":500000,\"Idempotency\":\"free\"}";
  private static final String CLASS_B =
      "{\"Name\":\"b\",\"DeadlineUs\":2000000,\"OnTimeUs\":500000,\"Idempotency\":\"free\"}";

  /** Stack that less than the parser's own limit of 1,000 levels exhausts, in bytes. */
  private static final long SMALL_STACK_BYTES = 192 * 1024;

  @TempDir private Path folder;

  private static String configWith(String classes, String limits) {
    return "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"settings\":{\"Classes\":["
        + classes
        + "],\"Limits\":{"
        + limits
        + "},\"FailureDomains\":[\"x\"]}}";
  }

  /** Guards against a stack overflow, in place of an error that names the file, at the start. */
  @Test
  void deeplyNestedFileIsRejected() throws Exception {
    Path path = folder.resolve("config.json");
    String valid = configWith(CLASS_A, "\"MaxAttempts\":4");
    String nested = "{\"other\":" + "[".repeat(999) + "]".repeat(999) + ",";
    Files.writeString(path, nested + valid.substring(1));
    ConfigFile file = new ConfigFile(path, folder.resolve("none"), Map.of());
    FutureTask<Config> reading = new FutureTask<>(file::read);
    new Thread(null, reading, "small stack", SMALL_STACK_BYTES).start();
    ExecutionException failure =
        assertThrows(ExecutionException.class, () -> reading.get(10, TimeUnit.SECONDS));
    assertEquals(
        "cannot read " + path + ": nested more than 32 levels deep",
        failure.getCause().getMessage());
  }

  @Test
  void reloadIsAllOrNothing() throws IOException {
    Path path = folder.resolve("config.json");
    String valid = configWith(CLASS_A, "\"MaxAttempts\":4");
    Files.writeString(path, valid);
    ConfigFile file =
        new ConfigFile(path, folder.resolve("none"), Map.of("ROUTER_DISCOVERY", "127.0.0.1:3"));
    assertEquals(3, file.read().discovery().port());
    for (String invalid :
        List.of(
            "",
            valid.substring(0, valid.length() - 9),
            "[]",
            configWith(CLASS_A, ""),
            configWith(CLASS_A, "\"MaxAttempts\":0"),
            configWith(CLASS_A, "\"MaxAttempts\":null"),
            configWith(CLASS_A, "\"MaxAttempts\":\"4\""),
            configWith(CLASS_A, "\"MaxAttempts\":1e300"),
            configWith("", "\"MaxAttempts\":4"),
            configWith(CLASS_A.replace("\"DeadlineUs\":1000000,", ""), "\"MaxAttempts\":4"),
            configWith(CLASS_A.replace("1000000", "-5"), "\"MaxAttempts\":4"),
            configWith(CLASS_A.replace("1000000", "\"soon\""), "\"MaxAttempts\":4"),
            configWith(
                CLASS_A + "," + CLASS_B.replace("\"Idempotency\"", "\"Other\""),
                "\"MaxAttempts\":4"),
            valid.replace("\"discovery\"", "\"other\""),
            valid.replace("[\"x\"]", "[\"x\",\"y\"]"))) {
      Files.writeString(path, invalid);
      assertThrows(ConfigException.class, file::reload, invalid);
    }
    Files.writeString(
        path, configWith(CLASS_B + "," + CLASS_A, "\"MaxAttempts\":2,\"MostHeld\":7"));
    Config reloaded = file.reload();
    assertEquals(
        List.of("b", "a"), reloaded.settings().classes().stream().map(c -> c.name()).toList());
    assertEquals(2, reloaded.settings().limits().maxAttempts());
    assertEquals(2, reloaded.discovery().port());
    Files.writeString(path, valid); // lacks a key of the current file
    assertThrows(ConfigException.class, file::reload);
  }
}
