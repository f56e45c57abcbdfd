package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Client.Response;
import dunlinhitch.experiments.fakes.Discovery;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.testbed.NetworkFaults;
import dunlinhitch.experiments.testbed.NetworkFaults.Harm;
import dunlinhitch.experiments.testbed.StreamProxy;
import dunlinhitch.experiments.testbed.TestBed;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetSocket;
import java.io.BufferedReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Incident: under disturbed links, stores had two attempts of one part at once in a deployment that
 * allows one at a time. The broker wrote a cancellation at the first attempt's time limit, counted
 * that attempt as ended, and sent the next one 5 ms later; the first store read the cancellation
 * only 80 to 200 ms after that. Proof: in every reported pair the second attempt follows the time
 * limit by exactly those 5 ms, and the store ends the first one as given up after the second has
 * arrived. Here a process of the real program and a proxy that holds the cancellation back.
 */
class CancellationInTransitTest {
  private static final int WAIT_S = 40;
  private static final String PART = "q.0";
  private static final int OTHER_QUERIES = 20;

  /** One attempt at a time; the time limit of an attempt is before the first liveness check. */
  private static final String CONFIG =
      """
      {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
       "settings":{"FailureDomains":["a"],"TickUs":5000,
        "Classes":[{"Name":"search","OnTimeUs":300000,"DeadlineUs":20000000,"Idempotency":"free","LateWorth":0.1}],
        "Domain":{"Positions":2,"InARow":1,"Shards":2,"FloorByClass":[0.7],"ShortWorth":[0.9]},
        "Limits":{"MaxAttempts":4,"MostHeld":2000,"MayCancel":true,"MayProbe":true,
         "ConnectTimeoutUs":1000000,"StreamsPerConn":32}}}""";

  /** Records what reaches it, and holds back what follows the first attempt of the part. */
  private final class RecordingStore extends FrameStore {
    RecordingStore(String name) throws Exception {
      super(vertx, name);
      script =
          received -> {
            if (!received.id().equals(PART)) {
              return Behavior.GOOD;
            }
            history.add("attempt at " + name);
            if (history.size() > 1) {
              return Behavior.GOOD;
            }
            firstStore = name;
            held = links.add((from, to) -> to.equals(name), Harm.HELD, 0, 1);
            return Behavior.NOTHING;
          };
    }

    @Override
    protected void onCancelled(NetSocket socket, String partId) {
      history.add("cancellation read by " + name);
    }
  }

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final NetworkFaults links = new NetworkFaults(1);
  private final List<FrameStore> stores = new ArrayList<>();
  private final Map<String, StreamProxy> proxies = new java.util.HashMap<>();

  /** What the stores saw of the part, in order: all stores share one thread. */
  private final List<String> history = new CopyOnWriteArrayList<>();

  private volatile String firstStore;
  private volatile NetworkFaults.Rule held;
  private Discovery discovery;
  private Process broker;
  private Client client;
  @TempDir private Path directory;

  private void start() throws Exception {
    discovery = new Discovery(vertx);
    List<String> entries = new ArrayList<>();
    for (int number = 0; number < 3; number++) {
      FrameStore store = new RecordingStore("s-" + number);
      stores.add(store);
      StreamProxy proxy = new StreamProxy(vertx, links, "n0", store.name, store.port());
      proxies.put(store.name, proxy);
      entries.add(
          Discovery.entry(store.name, proxy.port(), "a", number / 2, "ready", store.protocol()));
    }
    discovery.setList(entries.toArray(String[]::new));
    Path file = directory.resolve("config.json");
    Files.writeString(file, CONFIG.formatted(discovery.port()));
    ProcessBuilder builder =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "dunlinhitch.cli.Main",
                "serve",
                "--config",
                file.toString())
            .redirectErrorStream(true);
    builder.environment().put("TMPDIR", directory.toString());
    broker = builder.start();
    client = Client.http(listenPort());
    assertEquals("whole", ask("warm", 1).get(WAIT_S, TimeUnit.SECONDS).outcome());
  }

  private int listenPort() throws Exception {
    BufferedReader output = broker.inputReader();
    String line = output.readLine();
    while (!line.startsWith("n0 listens on ")) {
      line = output.readLine();
    }
    Thread drain = new Thread(() -> output.lines().forEach(ignored -> {}), "output of n0");
    drain.setDaemon(true);
    drain.start();
    return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
  }

  @AfterEach
  void stop() throws Exception {
    client.close();
    broker.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private CompletableFuture<Response> ask(String id, int shard) {
    return client.send(
        "search", Map.of("X-Trace-Id", id, "X-Expires-In", "20"), Client.body(shard));
  }

  private <T> T onLoop(java.util.function.Supplier<T> task) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    vertx.runOnContext(ignored -> done.complete(task.get()));
    return done.get(10, TimeUnit.SECONDS);
  }

  /** Queries at another shard, one after another: each takes the broker through several turns. */
  private void askOthers() throws Exception {
    for (int i = 0; i < OTHER_QUERIES; i++) {
      assertEquals("whole", ask("other" + i, 1).get(WAIT_S, TimeUnit.SECONDS).outcome());
    }
  }

  @Test
  void noSecondAttemptBeforeTheFirstStoreHasReadTheCancellation() throws Exception {
    start();
    CompletableFuture<Response> answer = ask("q", 0);
    TestBed.await(
        "the cancellation is written and held back",
        WAIT_S,
        () -> firstStore != null && onLoop(() -> proxies.get(firstStore).holdsBytes()));
    askOthers();
    assertEquals(List.of("attempt at " + firstStore), history);
    onLoop(
        () -> {
          links.remove(held);
          proxies.get(firstStore).release();
          return null;
        });
    assertEquals("whole", answer.get(WAIT_S, TimeUnit.SECONDS).outcome());
    String secondStore = firstStore.equals("s-0") ? "s-1" : "s-0";
    assertEquals(
        List.of(
            "attempt at " + firstStore,
            "cancellation read by " + firstStore,
            "attempt at " + secondStore),
        history);
  }
}
