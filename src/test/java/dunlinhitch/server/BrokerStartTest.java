package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.eclipsesource.json.Json;
import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Discovery;
import dunlinhitch.experiments.fakes.FrameStore;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Conditions for the start of a broker, and stop requests that arrive before or during the start.
 */
class BrokerStartTest {
  /**
   * A broker that has not ended after this time is assumed to wait for the grace period. The value
   * must be shorter than 1.25 s, the sum of the grace period and half of the longest query
   * deadline.
   */
  private static final long GRACE_MS = 1_200;

  private static final int INITIAL_LIST_ACCEPTED_MS = 1_100;
  @TempDir private Path dir;

  private static Config config(int discovery, String initialList, Path scratch) {
    Address anyPort = new Address("127.0.0.1", 0);
    return new Config(
        "n0",
        anyPort,
        anyPort,
        new Address("127.0.0.1", discovery),
        7,
        Json.parse(initialList).asObject(),
        Config.DEFAULT_SOCKETS,
        BrokerFixture.settings(40),
        Product.NONE,
        scratch,
        0);
  }

  /**
   * Checks that the broker never listens and that it ends without waiting for the grace period of a
   * graceful shutdown.
   */
  private void endsBeforeListening(boolean started) throws Exception {
    BrokerFixture fixture = new BrokerFixture();
    Config config = config(fixture.discovery.port(), "{}", dir);
    CompletableFuture<String> start = new CompletableFuture<>();
    CompletableFuture<String> first = new CompletableFuture<>();
    CountDownLatch stopRequested = new CountDownLatch(1);
    io.vertx.core.Context context = fixture.vertx.getOrCreateContext();
    Runnable starts =
        () ->
            fixture
                .broker
                .start()
                .onComplete(
                    bound ->
                        start.complete(bound.succeeded() ? "listens" : bound.cause().getMessage()));
    try {
      context.runOnContext(
          v -> {
            fixture.broker = new Broker(fixture.vertx, context, config, line -> {});
            if (started) {
              // blocking tasks of a context run in order, so this one delays the reading of the
              // folder until the stop is requested
              fixture.vertx.executeBlocking(() -> stopRequested.await(10, TimeUnit.SECONDS));
              starts.run(); // first reads the shared folder, off the event loop
            }
            fixture.vertx.setTimer(GRACE_MS, t -> first.complete("grace period elapsed"));
            fixture.broker.stop().onComplete(done -> first.complete("broker ended"));
            stopRequested.countDown();
            if (!started) {
              starts.run();
            }
          });
      assertEquals(
          "broker was asked to stop before it started to listen", start.get(10, TimeUnit.SECONDS));
      assertEquals("broker ended", first.get(10, TimeUnit.SECONDS));
    } finally {
      fixture.close();
    }
  }

  @Test
  void stopBeforeStartNeverListens() throws Exception {
    endsBeforeListening(false);
  }

  @Test
  void stopWhileTheSharedFolderIsReadNeverListens() throws Exception {
    endsBeforeListening(true);
  }

  private static int readinessStatus(int port) throws IOException {
    return ((HttpURLConnection)
            URI.create("http://127.0.0.1:" + port + "/health/ready").toURL().openConnection())
        .getResponseCode();
  }

  /**
   * Starts the broker of the fixture while discovery is down; returns the status of its readiness
   * check after the time at which the initial endpoint list is accepted.
   */
  private static int withoutDiscovery(BrokerFixture fixture, int discovery, String initialList)
      throws Exception {
    io.vertx.core.Context context = fixture.vertx.getOrCreateContext();
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    CompletableFuture<Integer> port = new CompletableFuture<>();
    context.runOnContext(
        v -> {
          fixture.broker =
              new Broker(fixture.vertx, context, config(discovery, initialList, null), line -> {});
          fixture.vertx.setTimer(
              INITIAL_LIST_ACCEPTED_MS, t -> elapsed.complete(null)); // a later check is also valid
          fixture.broker.start().onSuccess(port::complete).onFailure(port::completeExceptionally);
        });
    elapsed.get(10, TimeUnit.SECONDS);
    fixture.httpPort = port.get(10, TimeUnit.SECONDS);
    return readinessStatus(fixture.httpPort);
  }

  /**
   * An empty initial endpoint list must not make the broker ready, because it would reject every
   * query.
   */
  @Test
  void notReadyWhileNoEndpointIsKnown() throws Exception {
    int port;
    try (ServerSocket free = new ServerSocket(0)) {
      port = free.getLocalPort();
    }
    BrokerFixture fixture = new BrokerFixture();
    BrokerFixture other = new BrokerFixture();
    FrameStore store = new FrameStore(fixture.vertx, "s");
    String entry = Discovery.entry(store, "a", 0, "ready");
    try {
      assertEquals(
          200, withoutDiscovery(other, port, "{\"generation\":3,\"instances\":[" + entry + "]}"));
      assertEquals(503, withoutDiscovery(fixture, port, "{\"generation\":3,\"instances\":[]}"));
      try (Discovery discovery = new Discovery(fixture.vertx, port)) {
        discovery.setList(entry);
        int status = 503;
        for (int i = 0; i < 1_000 && status != 200; i++) {
          Thread.sleep(10);
          status = readinessStatus(fixture.httpPort);
        }
        assertEquals(200, status, "must become ready once discovery is back");
      }
    } finally {
      store.close();
      other.close();
      fixture.close();
    }
  }
}
