package dunlinhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.config.Config.ConfigException;
import dunlinhitch.config.ConfigFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The JVM limits that the deploy file's command derives from the configuration. */
class DeployCommandTest {
  private static final String SCRIPT = "deploy/serve.sh";

  @TempDir private Path directory;

  @BeforeEach
  void createJava() throws Exception {
    Path java = directory.resolve("java");
    Files.writeString(java, "#!/bin/sh\nfor option; do echo \"$option\"; done\n");
    assertTrue(java.toFile().setExecutable(true));
  }

  private List<String> options(String config) throws Exception {
    return options(config, "");
  }

  private List<String> options(String config, String listenerDescriptor) throws Exception {
    Path file = directory.resolve("config.json");
    Files.writeString(file, config);
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", SCRIPT).redirectErrorStream(true);
    builder.environment().put("PATH", directory.toString());
    builder.environment().put("ROUTER_CONFIG", file.toString());
    builder.environment().put("ROUTER_ACCEPT_FD", listenerDescriptor);
    Process process = builder.start();
    List<String> options = process.inputReader().lines().toList();
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(0, process.exitValue(), options.toString());
    return options;
  }

  private static int megabytes(List<String> options, String name) {
    return options.stream()
        .filter(option -> option.startsWith(name))
        .mapToInt(option -> Integer.parseInt(option.substring(name.length()).replace("m", "")))
        .findFirst()
        .orElseThrow();
  }

  private static int constant(String name) throws Exception {
    return Files.readAllLines(Path.of(SCRIPT)).stream()
        .filter(line -> line.startsWith(name + "="))
        .mapToInt(line -> Integer.parseInt(line.substring(name.length() + 1)))
        .findFirst()
        .orElseThrow();
  }

  /** Guards against a heap and direct memory that together pass what the limit leaves. */
  @Test
  void heapAndDirectMemoryAreWhatTheLimitLeaves() throws Exception {
    for (int limitMb : new int[] {112, 128, 144, 192, 2048}) {
      List<String> options = options("{\"limits\":{\"cores\":1.0,\"memory_mb\":" + limitMb + "}}");
      int usedMb =
          megabytes(options, "-Xmx")
              + megabytes(options, "-XX:MaxDirectMemorySize=")
              + constant("OTHER_MB");
      assertEquals(limitMb, usedMb);
    }
  }

  /** The limit is found wherever it stands, also behind the list of a very large fleet. */
  @Test
  void theLimitIsFoundInAnyLayoutOfTheFile() throws Exception {
    List<String> expected = options("{\"limits\":{\"memory_mb\":144}}");
    String store = "{\"instanceId\":\"s\",\"hostPort\":\"127.0.0.1:1\"},";
    String list = "{\"known\":{\"instances\":[" + store.repeat(3_200) + "{}]},";
    assertEquals(expected, options(list + "\"limits\":{\"sockets\":1,\"memory_mb\":144}}"));
    assertEquals(
        expected,
        options("{\n  \"limits\": {\n    \"memory_mb\": 144,\n    \"sockets\": 9\n  }\n}"));
  }

  /** Without a limit in the configuration, the largest one of the platform is assumed. */
  @Test
  void aFileWithoutALimitIsServedAsWithTheDefault() throws Exception {
    assertEquals(
        options("{\"limits\":{\"memory_mb\":" + constant("DEFAULT_MB") + "}}"),
        options("{\"limits\":{\"sockets\":1024}}"));
  }

  /** Guards against Flight's classes that take memory which the heap has been given. */
  @Test
  void theHeapLeavesRoomForFlightAndIsNeverBelowTheLeastOne() throws Exception {
    for (int limitMb : new int[] {112, 128, 192}) {
      String limits = "\"limits\":{\"memory_mb\":" + limitMb + "}";
      String stores = "\"known\":{\"instances\":[{\"cell\":0,\"protocol\":\"flight\"}]}";
      int heapMb = megabytes(options("{" + limits + "}"), "-Xmx");
      int expectedMb = Math.max(constant("LEAST_HEAP_MB"), heapMb - constant("FLIGHT_MB"));
      assertEquals(expectedMb, megabytes(options("{" + limits + "," + stores + "}"), "-Xmx"));
      assertEquals(expectedMb, megabytes(options("{" + stores + "," + limits + "}"), "-Xmx"));
    }
  }

  /** Guards against a start with less memory than the command plans with. */
  @Test
  void aLimitBelowTheLeastOneIsAnError() throws Exception {
    int leastMb = constant("LEAST_MB");
    readConfig(leastMb);
    ConfigException failure = assertThrows(ConfigException.class, () -> readConfig(leastMb - 1));
    assertTrue(
        failure
            .getMessage()
            .contains(
                "CONFIG_MEMORY_TOO_SMALL: limits.memory_mb must be at least "
                    + leastMb
                    + ", not "
                    + (leastMb - 1)),
        failure.getMessage());
  }

  private void readConfig(int memoryMb) throws Exception {
    Path file = directory.resolve("limited.json");
    Files.writeString(
        file,
        "{\"listen\":\"127.0.0.1:1\",\"discovery\":\"127.0.0.1:2\",\"limits\":{\"memory_mb\":"
            + memoryMb
            + "},\"settings\":{\"Classes\":[{\"Name\":\"a\",\"OnTimeUs\":1000,"
            + "\"DeadlineUs\":2000,\"Idempotency\":\"free\"}],"
            + "\"Limits\":{\"MaxAttempts\":4},\"FailureDomains\":[\"x\"]}}");
    new ConfigFile(file, directory.resolve("none"), Map.of()).read();
  }

  /** Guards against two processes of a hot restart that together pass the limit of the broker. */
  @Test
  void processesOfAHotRestartShareTheLimit() throws Exception {
    int reserveMb = constant("RESERVE_MB");
    for (int limitMb : new int[] {208, 512}) {
      List<String> each = options("{\"limits\":{\"memory_mb\":" + limitMb + "}}", "0");
      int usedMb =
          megabytes(each, "-Xmx")
              + megabytes(each, "-XX:MaxDirectMemorySize=")
              + constant("OTHER_MB")
              - reserveMb;
      assertEquals(limitMb - reserveMb, 2 * usedMb);
    }
  }
}
