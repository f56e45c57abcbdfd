package dunlinhitch.experiments.testbed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.dns.FakeNameServer;
import dunlinhitch.experiments.dns.Zone;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xbill.DNS.Record;

/** A broker process that the deploy file's command starts with arguments behind it. */
class DeployedArgumentsIT {
  private static final int MEMORY_MB = 192;
  private static final int SHARDS = 1;
  private static final int TTL_S = 120;
  private static final String SERVICE = "_calendar._tcp.rooms.example.org.";

  @TempDir private Path directory;
  private int queries;

  private DeployedBroker start(String... arguments) throws Exception {
    int discoveryPort = FreePorts.tcp(); // nothing listens there
    return new DeployedBroker(directory, discoveryPort, MEMORY_MB, SHARDS, arguments);
  }

  /** Guards against a broker that serves without the settings file that was named to it. */
  @Test
  void theNamedSettingsFileIsUsed() throws Exception {
    Vertx vertx = Vertx.vertx();
    Zone zone = new Zone("rooms.example.org.");
    FrameStore store = new FrameStore(vertx, "s-0");
    String[] attributes = {"id=s-0", "cell=0", "zone=here"};
    zone.add(
        Zone.store(SERVICE, "one", "127.0.0.1", store.port(), TTL_S, attributes)
            .toArray(Record[]::new));
    try (FakeNameServer server = new FakeNameServer(vertx, zone)) {
      String settings =
          "discovery off\n[dns_sd main]\nserver 127.0.0.1:"
              + server.port()
              + "\nservice "
              + SERVICE;
      Path file = Files.writeString(directory.resolve("own settings.conf"), settings + "\n");
      try (DeployedBroker broker = start("--conf", file.toString())) {
        broker.awaitListening();
        Client client = Client.http(broker.port);
        TestBed.await("a query is served from the records", 40, () -> ask(client));
      }
    } finally {
      store.close();
      vertx.close();
    }
  }

  private boolean ask(Client client) throws Exception {
    Map<String, String> headers = Map.of("X-Trace-Id", "q" + ++queries, "X-Expires-In", "1.000");
    return client
        .send("free-search", headers, Client.body(0))
        .get(10, TimeUnit.SECONDS)
        .outcome()
        .equals("whole");
  }

  /** Guards against arguments that are dropped in place of refused. */
  @Test
  void anUnknownArgumentEndsTheProcessWithItsError() throws Exception {
    try (DeployedBroker broker = start("--unknown", "a b")) {
      assertTrue(broker.process.waitFor(20, TimeUnit.SECONDS), broker.output());
      assertEquals(2, broker.process.exitValue(), broker.output());
      assertEquals(1, broker.output().lines().count(), broker.output());
      assertTrue(broker.output().contains("--unknown"), broker.output());
    }
  }
}
