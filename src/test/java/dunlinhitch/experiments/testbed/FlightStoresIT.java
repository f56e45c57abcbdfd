package dunlinhitch.experiments.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Discovery;
import dunlinhitch.experiments.fakes.FlightStore;
import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A broker process that the deploy file's command starts, and stores with Arrow Flight. */
class FlightStoresIT {
  private static final int MEMORY_MB = 128;
  private static final int KB_PER_MB = 1_024;
  private static final int SOCKETS = 1_024;
  private static final int QUERIES = 200;

  /** A broker refuses queries while it opens its first connections. */
  private static final int MAX_ATTEMPTS = 100;

  private static final int SHARDS = 2;

  @TempDir private Path directory;

  /**
   * Guards against JVM bounds that leave no room for the classes of Flight, which a broker loads
   * when discovery first names a store that speaks it.
   */
  @Test
  void queriesAreServedByFlightStoresWithinTheMemoryLimit() throws Exception {
    Vertx vertx = Vertx.vertx();
    FlightStore first = new FlightStore("s-0");
    FlightStore second = new FlightStore("s-1");
    try (Discovery discovery = new Discovery(vertx)) {
      discovery.setList(
          Discovery.entry(first, "here", 0, "ready"), Discovery.entry(second, "here", 1, "ready"));
      int port = FreePorts.tcp();
      Process broker = start(port, discovery.port());
      try {
        TestBed.await("the broker listens", 40, () -> outputOf(broker).contains("listens on "));
        Client client = Client.http(port);
        for (int i = 0; i < QUERIES; i++) {
          assertEquals("whole", ask(client, i), output());
        }
        long peakMb = ProcessStatus.peakResidentKb(broker.pid()) / KB_PER_MB;
        System.out.println("beside Flight stores: " + peakMb + " MB");
        assertTrue(peakMb < MEMORY_MB, peakMb + " MB");
        assertEquals(List.of(), output().lines().filter(TestBed::isSuspicious).toList());
      } finally {
        broker.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      }
    } finally {
      first.close();
      second.close();
      vertx.close();
    }
  }

  /** Sends a query, and sends it again where it is refused; returns its outcome. */
  private static String ask(Client client, int query) throws Exception {
    String outcome = "";
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      String id = "f" + query + "-" + attempt;
      Map<String, String> headers = Map.of("X-Trace-Id", id, "X-Expires-In", "1.000");
      outcome =
          client
              .send("free-search", headers, Client.body(0, 1))
              .get(10, TimeUnit.SECONDS)
              .outcome();
      if (!outcome.equals("refused")) {
        return outcome;
      }
    }
    return outcome;
  }

  private Process start(int port, int discoveryPort) throws Exception {
    BrokerLaunch launch = BrokerLaunch.deployed(List.of(), SOCKETS, MEMORY_MB);
    Path config = directory.resolve("config.json");
    Files.writeString(
        config,
        String.format(
            Locale.ROOT,
            "{\"name\":\"n0\",\"listen\":\"127.0.0.1:%d\",\"discovery\":\"127.0.0.1:%d\","
                + "\"limits\":%s,\"settings\":%s}",
            port,
            discoveryPort,
            launch.limits(),
            String.format(Locale.ROOT, TestBedPlan.STANDARD_SETTINGS, 1, SHARDS, SHARDS)));
    ProcessBuilder builder =
        new ProcessBuilder(launch.command())
            .redirectErrorStream(true)
            .redirectOutput(directory.resolve("output.txt").toFile());
    builder.environment().put("ROUTER_CONFIG", config.toString());
    builder.environment().put("TMPDIR", Files.createDirectory(directory.resolve("tmp")).toString());
    return builder.start();
  }

  private String outputOf(Process broker) throws Exception {
    assertTrue(broker.isAlive(), () -> "the broker exited: " + broker.exitValue());
    return output();
  }

  private String output() throws Exception {
    return Files.readString(directory.resolve("output.txt"));
  }
}
