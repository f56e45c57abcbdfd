package dunlinhitch.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.config.Config.ConfigException;
import dunlinhitch.config.ConfigFile;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * What the deploy file's command passes on to the program, and the JVM limits that it derives from
 * the configuration.
 */
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
    return outputOf(builder.start(), 0);
  }

  private static List<String> outputOf(Process process, int exitCode) throws Exception {
    List<String> lines = process.inputReader().lines().toList();
    assertTrue(process.waitFor(20, TimeUnit.SECONDS));
    assertEquals(exitCode, process.exitValue(), lines.toString());
    return lines;
  }

  /** Returns a builder of the script with these arguments, whose {@code java} runs {@code body}. */
  private ProcessBuilder script(String body, String... arguments) throws Exception {
    Files.writeString(directory.resolve("java"), "#!/bin/sh\n" + body + "\n");
    List<String> command = new ArrayList<>(List.of("/bin/sh", SCRIPT));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("PATH", directory.toString());
    builder.environment().remove("ROUTER_CONFIG");
    return builder;
  }

  private List<String> optionsWith(String... arguments) throws Exception {
    return outputOf(script("for option; do echo \"$option\"; done", arguments).start(), 0);
  }

  private String write(String name, String content) throws Exception {
    return Files.writeString(directory.resolve(name), content).toString();
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

  /** Guards against a script that serves without the settings file that its arguments name. */
  @Test
  void allArgumentsReachTheProgramUnchanged() throws Exception {
    String[] arguments = {
      "--conf", write("a b.conf", ""), "", "*", "two  spaces", "--unknown=\"'$x\\", "--conf="
    };
    List<String> options = optionsWith(arguments);
    int command = options.indexOf("serve");
    assertEquals(List.of(arguments), options.subList(command + 1, options.size()));
    assertEquals("serve", optionsWith().get(command), "no argument is added where there is none");
    assertEquals(command + 1, optionsWith().size());
  }

  /** Guards against an exit code, standard input, process id or variable that the script keeps. */
  @Test
  void theProgramTakesThePlaceOfTheScript() throws Exception {
    ProcessBuilder builder =
        script("read -r line; echo \"$$ $line $MALLOC_ARENA_MAX $OTHER\"; exit 7");
    builder.environment().put("ROUTER_CONFIG", write("config.json", "{}"));
    builder.environment().put("ROUTER_ACCEPT_FD", "0");
    builder.environment().put("MALLOC_ARENA_MAX", "3");
    builder.environment().put("OTHER", "x y");
    Process process = builder.start();
    try (Writer input = process.outputWriter()) {
      input.write("input\n");
    }
    assertEquals(List.of(process.pid() + " input 3 x y"), outputOf(process, 7));
  }

  /**
   * Guards against a SIGHUP that ends the process while the script reads the files: it is sent by a
   * {@code read} that takes the place of the shell's. The program is started with the signal at its
   * default.
   */
  @Test
  void hangupWhileTheScriptReadsTheFilesIsHarmless() throws Exception {
    String shell =
        "read() { kill -HUP $$; command read \"$@\"; }; script=$0; . \"./$script\" \"$@\"";
    ProcessBuilder builder = script("echo started; kill -HUP $$; echo ignored");
    builder.command(List.of("/bin/sh", "-c", shell, SCRIPT));
    builder.environment().put("ROUTER_CONFIG", write("config.json", "{}"));
    int endedBySignal = 128 + 1;
    assertEquals(List.of("started"), outputOf(builder.start(), endedBySignal));
  }

  /** Guards against a heap that is planned by another file than the one that the program reads. */
  @Test
  void filesThatTheArgumentsNameArePlannedWith() throws Exception {
    String small = write("small.json", "{\"limits\":{\"memory_mb\":128}}");
    int heapMb = megabytes(options("{\"limits\":{\"memory_mb\":128}}"), "-Xmx");
    assertEquals(heapMb, megabytes(optionsWith("--config", small), "-Xmx"));
    assertEquals(heapMb, megabytes(optionsWith("--config=" + small), "-Xmx"));
    int withFlightMb = Math.max(constant("LEAST_HEAP_MB"), heapMb - constant("FLIGHT_MB"));
    for (String section :
        List.of("[flight]", " \t[flight] # x", "[ flight ]", "x 1\n[flight]\r\n", "include x")) {
      String conf = write("own.conf", section);
      assertEquals(withFlightMb, megabytes(optionsWith("--conf", conf, "--config", small), "-Xmx"));
      assertEquals(
          withFlightMb, megabytes(optionsWith("--config=" + small, "--conf=" + conf), "-Xmx"));
    }
    for (String other : List.of("# [flight]", "[dns_sd flight]", "[fleet]", "", "\n\nx [flight]")) {
      String conf = write("own.conf", other);
      assertEquals(heapMb, megabytes(optionsWith("--config", small, "--conf", conf), "-Xmx"));
    }
  }

  /**
   * Guards against a pipe that the script empties before the program reads it, and against lines of
   * the shell beside the program's error where a file is missing.
   */
  @Test
  void aPipeIsLeftToTheProgramAndAMissingFileToItsError() throws Exception {
    Path pipe = directory.resolve("pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    List<String> options = optionsWith("--config", pipe.toString());
    assertEquals(constant("LEAST_HEAP_MB"), megabytes(options, "-Xmx"));
    assertEquals(
        List.of("--config", pipe.toString()), options.subList(options.size() - 2, options.size()));
    assertTrue(optionsWith("--config", "none/a", "--conf", "none/b").get(0).startsWith("-XX"));
  }
}
