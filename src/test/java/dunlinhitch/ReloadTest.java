package dunlinhitch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.eclipsesource.json.Json;
import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.decide.Routing.Settings;
import dunlinhitch.lab.standin.Stage;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The configuration is read again, by SIGHUP or for this broker saw that it is behind. */
class ReloadTest {
    private static final String TAKEN = "the configuration was taken: classes ";

    private static Config config(Stage stage, Settings settings, long writtenMs) {
        Address any = new Address("127.0.0.1", 0);
        return new Config("n0", any, any, new Address("127.0.0.1", stage.discovery.port()), 7, Json.object(), stage.sockets, settings,
                Product.NONE, null, writtenMs);
    }

    /** The file is read again because others are ahead, and SIGHUP comes before that is taken: what was read last holds. */
    @Test
    void whatWasReadLastHolds() throws Exception {
        Stage stage = new Stage();
        try {
            stage.list();
            stage.start(Stage.settings(40), null);
            CompletableFuture<Void> both = new CompletableFuture<>();
            stage.onLog = line -> {
                if (stage.log.stream().filter(one -> one.startsWith(TAKEN)).count() == 2) {
                    both.complete(null);
                }
            };
            stage.vertx.runOnContext(v -> {
                stage.broker.rereadBy(() -> config(stage, Stage.settings(40), 1));
                stage.broker.readAgain();
                stage.broker.reload(() -> config(stage, Stage.twoSteps(40), 2));
            });
            both.get(10, TimeUnit.SECONDS);
            assertEquals(List.of(TAKEN + "[free-search, slot-booking]", TAKEN + "[free-search, slot-booking, report]"),
                    stage.log.stream().filter(one -> one.startsWith(TAKEN)).toList());
        } finally {
            stage.close();
        }
    }
}
