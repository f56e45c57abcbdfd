package dunlinhitch.experiments.testbed;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A broker process that the deploy file's command starts, with the standard settings. */
final class DeployedBroker implements AutoCloseable {
  private static final int SOCKETS = 1_024;

  final int port = FreePorts.tcp();
  final Process process;
  private final Path output;

  /**
   * Starts a broker without waiting until it listens.
   *
   * @param directory an empty directory for its files
   * @param arguments arguments behind the deploy file's command
   */
  DeployedBroker(Path directory, int discoveryPort, int memoryMb, int shards, String... arguments)
      throws Exception {
    BrokerLaunch launch = BrokerLaunch.deployed(List.of(), SOCKETS, memoryMb);
    Path config = directory.resolve("config.json");
    output = directory.resolve("output.txt");
    Files.writeString(
        config,
        String.format(
            Locale.ROOT,
            "{\"name\":\"n0\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"127.0.0.1:%d\","
                + "\"limits\":%s,\"settings\":%s}",
            port,
            discoveryPort,
            launch.limits(),
            String.format(Locale.ROOT, TestBedPlan.STANDARD_SETTINGS, 1, shards, shards)));
    ProcessBuilder builder =
        new ProcessBuilder(launch.command(arguments))
            .redirectErrorStream(true)
            .redirectOutput(output.toFile());
    builder.environment().put("ROUTER_CONFIG", config.toString());
    builder.environment().put("TMPDIR", Files.createDirectory(directory.resolve("tmp")).toString());
    process = builder.start();
  }

  /** Waits until the broker listens; fails at once if it has exited. */
  void awaitListening() throws Exception {
    TestBed.await(
        "the broker listens",
        40,
        () -> {
          if (!process.isAlive()) {
            throw new AssertionError("the broker exited: " + process.exitValue() + output());
          }
          return output().contains("listens on ");
        });
  }

  /** Returns all lines that the broker has written. */
  String output() throws Exception {
    return Files.readString(output);
  }

  @Override
  public void close() {
    process.destroyForcibly().onExit().orTimeout(10, TimeUnit.SECONDS).join();
  }
}
