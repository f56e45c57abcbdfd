package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.eclipsesource.json.Json;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reloads of the configuration, on SIGHUP or because other brokers have a newer one. */
class ReloadTest {
  private static final String APPLIED = "configuration reloaded: classes ";

  private static Config config(BrokerFixture fixture, Settings settings, long writtenMs) {
    Address anyPort = new Address("127.0.0.1", 0);
    return new Config(
        "n0",
        anyPort,
        anyPort,
        new Address("127.0.0.1", fixture.discovery.port()),
        7,
        Json.object(),
        fixture.maxSockets,
        settings,
        Product.NONE,
        null,
        writtenMs);
  }

  private static void waitFor(CountDownLatch latch, int seconds) {
    try {
      latch.await(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * SIGHUP arrives while an earlier reload, triggered by another broker's newer file, is not
   * applied yet: the configuration that was read last must apply.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void lastReadConfigurationApplies(boolean slow) throws Exception {
    BrokerFixture fixture = new BrokerFixture();
    try {
      fixture.publishStores();
      fixture.start(BrokerFixture.settings(40), null);
      CompletableFuture<Void> bothApplied = new CompletableFuture<>();
      CountDownLatch anyLogged = new CountDownLatch(1);
      fixture.logListener =
          line -> {
            anyLogged.countDown();
            if (fixture.logLines.stream().filter(one -> one.startsWith(APPLIED)).count() == 2) {
              bothApplied.complete(null);
            }
          };
      Runnable reload =
          () -> fixture.broker.reload(() -> config(fixture, BrokerFixture.twoSteps(40), 2));
      fixture.vertx.runOnContext(
          v -> {
            fixture.broker.setConfigurationReader(
                () -> {
                  waitFor(anyLogged, slow ? 1 : 0);
                  return config(fixture, BrokerFixture.settings(40), 1);
                });
            fixture.broker.reloadIfChanged();
            if (slow) {
              // on a separate context, so that only the broker itself orders the two reads
              new Thread(() -> fixture.vertx.runOnContext(w -> reload.run())).start();
            } else {
              reload.run();
            }
          });
      bothApplied.get(10, TimeUnit.SECONDS);
      assertEquals(
          List.of(
              APPLIED + "[free-search, slot-booking]",
              APPLIED + "[free-search, slot-booking, report]"),
          fixture.logLines.stream().filter(one -> one.startsWith(APPLIED)).toList());
    } finally {
      fixture.close();
    }
  }
}
