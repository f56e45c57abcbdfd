package dunlinhitch.experiments.testbed;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * How broker processes are started.
 *
 * @param prefix command that starts the JVM, such as {@code taskset}; empty to start it directly
 * @param jvmOptions options of the JVM
 * @param admin whether each broker has an operators' address
 * @param sockets number of file descriptors that each broker may hold
 * @param memoryMb memory limit in the brokers' configuration in MB, or 0 for none
 * @param deployCommand the deploy file's command, which is used in place of a JVM with {@code
 *     jvmOptions}; empty for none
 */
public record BrokerLaunch(
    List<String> prefix,
    List<String> jvmOptions,
    boolean admin,
    int sockets,
    int memoryMb,
    String deployCommand) {
  /** A JVM with a small heap and no operators' address. */
  public static final BrokerLaunch STANDARD =
      new BrokerLaunch(
          List.of(), List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m"), false, 512);

  private static final Path DEPLOY_FILE = Path.of("deploy", "balancer.toml");
  private static final String RUN = "run = \"";

  /** Creates a launch with immutable copies of the lists. */
  public BrokerLaunch {
    prefix = List.copyOf(prefix);
    jvmOptions = List.copyOf(jvmOptions);
  }

  /** Creates a launch without a memory limit. */
  public BrokerLaunch(List<String> prefix, List<String> jvmOptions, boolean admin, int sockets) {
    this(prefix, jvmOptions, admin, sockets, 0, "");
  }

  /**
   * Creates a launch by the deploy file's command, which needs the built program; the current
   * folder must be the root of the project.
   */
  public static BrokerLaunch deployed(List<String> prefix, int sockets, int memoryMb)
      throws IOException {
    return new BrokerLaunch(prefix, List.of(), true, sockets, memoryMb, readDeployCommand());
  }

  /** Reads the command that starts a broker from the deploy file. */
  public static String readDeployCommand() throws IOException {
    return Files.readAllLines(DEPLOY_FILE).stream()
        .filter(line -> line.startsWith(RUN))
        .map(line -> line.substring(RUN.length(), line.lastIndexOf("\"   #")))
        .findFirst()
        .orElseThrow(() -> new IOException(DEPLOY_FILE + " has no command"));
  }

  /**
   * Returns the command that starts a broker with these further arguments; its configuration file
   * is {@code $ROUTER_CONFIG}.
   */
  List<String> command(String... arguments) {
    List<String> command = new ArrayList<>(prefix);
    if (deployCommand.isEmpty()) {
      command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
      command.addAll(jvmOptions);
      command.addAll(
          List.of("-cp", System.getProperty("java.class.path"), "dunlinhitch.cli.Main", "serve"));
    } else {
      String script = "ulimit -n " + sockets + "; " + deployCommand + " \"$@\"";
      command.addAll(List.of("/bin/sh", "-c", script, "sh"));
    }
    command.addAll(List.of(arguments));
    return command;
  }

  /** Returns the limits in the configuration, as JSON. */
  String limits() {
    return memoryMb == 0
        ? "{\"sockets\":" + sockets + "}"
        : "{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "}";
  }
}
