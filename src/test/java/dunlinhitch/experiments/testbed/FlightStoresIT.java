package dunlinhitch.experiments.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Discovery;
import dunlinhitch.experiments.fakes.FlightStore;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A broker process that the deploy file's command starts, and stores with Arrow Flight. */
class FlightStoresIT {
  private static final int MEMORY_MB = 128;
  private static final int KB_PER_MB = 1_024;
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
      try (DeployedBroker broker =
          new DeployedBroker(directory, discovery.port(), MEMORY_MB, SHARDS)) {
        broker.awaitListening();
        Client client = Client.http(broker.port);
        for (int i = 0; i < QUERIES; i++) {
          assertEquals("whole", ask(client, i), broker.output());
        }
        long peakMb = ProcessStatus.peakResidentKb(broker.process.pid()) / KB_PER_MB;
        System.out.println("beside Flight stores: " + peakMb + " MB");
        assertTrue(peakMb < MEMORY_MB, peakMb + " MB");
        assertEquals(List.of(), broker.output().lines().filter(TestBed::isSuspicious).toList());
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
}
