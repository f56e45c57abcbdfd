package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.eclipsesource.json.Json;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.experiments.fakes.Stage;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The configuration is read again, by SIGHUP or for this broker saw that it is behind. */
class ReloadTest {
  private static final String TAKEN = "the configuration was taken: classes ";

  private static Config config(Stage stage, Settings settings, long writtenMs) {
    Address any = new Address("127.0.0.1", 0);
    return new Config(
        "n0",
        any,
        any,
        new Address("127.0.0.1", stage.discovery.port()),
        7,
        Json.object(),
        stage.sockets,
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
   * The file is read again because others are ahead, and SIGHUP comes before that is taken: what
   * was read last holds.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void whatWasReadLastHolds(boolean slow) throws Exception {
    Stage stage = new Stage();
    try {
      stage.list();
      stage.start(Stage.settings(40), null);
      CompletableFuture<Void> both = new CompletableFuture<>();
      CountDownLatch later = new CountDownLatch(1);
      stage.onLog =
          line -> {
            later.countDown();
            if (stage.log.stream().filter(one -> one.startsWith(TAKEN)).count() == 2) {
              both.complete(null);
            }
          };
      Runnable reload = () -> stage.broker.reload(() -> config(stage, Stage.twoSteps(40), 2));
      stage.vertx.runOnContext(
          v -> {
            stage.broker.setConfigurationReader(
                () -> {
                  waitFor(later, slow ? 1 : 0);
                  return config(stage, Stage.settings(40), 1);
                });
            stage.broker.reloadIfChanged();
            if (slow) { // on a context of its own, for whose reading none but the broker lets this
              // one end first
              new Thread(() -> stage.vertx.runOnContext(w -> reload.run())).start();
            } else {
              reload.run();
            }
          });
      both.get(10, TimeUnit.SECONDS);
      assertEquals(
          List.of(
              TAKEN + "[free-search, slot-booking]", TAKEN + "[free-search, slot-booking, report]"),
          stage.log.stream().filter(one -> one.startsWith(TAKEN)).toList());
    } finally {
      stage.close();
    }
  }
}
