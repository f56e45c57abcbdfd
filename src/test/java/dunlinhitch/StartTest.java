package dunlinhitch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.eclipsesource.json.Json;
import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.lab.standin.Stage;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A broker that is asked to end before it listens: it never does, and ends long before the time in which it would have let clients go. */
class StartTest {
    /** A timer of the broker's own loop; the grace with half of the longest deadline is 1.25 s. */
    private static final long GRACE_MS = 1_200;
    @TempDir
    private Path dir;

    private void endsUnheard(boolean started) throws Exception {
        Stage stage = new Stage();
        Address any = new Address("127.0.0.1", 0);
        Config config = new Config("n0", any, any, new Address("127.0.0.1", stage.discovery.port()), 7, Json.object(), stage.sockets,
                Stage.settings(40), Product.NONE, dir, 0);
        CompletableFuture<String> start = new CompletableFuture<>();
        CompletableFuture<String> first = new CompletableFuture<>();
        io.vertx.core.Context context = stage.vertx.getOrCreateContext();
        Runnable starts = () -> stage.broker.start().onComplete(bound -> start.complete(bound.succeeded() ? "listens" : bound.cause().getMessage()));
        try {
            context.runOnContext(v -> {
                stage.broker = new Broker(stage.vertx, context, config, line -> { });
                if (started) {
                    starts.run(); // reads the shared folder first, off the loop
                }
                stage.vertx.setTimer(GRACE_MS, t -> first.complete("the grace"));
                stage.broker.stop().onComplete(done -> first.complete("the end"));
                if (!started) {
                    starts.run();
                }
            });
            assertEquals("it was asked to end before it listened", start.get(10, TimeUnit.SECONDS));
            assertEquals("the end", first.get(10, TimeUnit.SECONDS));
        } finally {
            stage.close();
        }
    }

    @Test
    void inTheRehearsal() throws Exception {
        endsUnheard(false);
    }

    @Test
    void whileTheSharedFolderIsRead() throws Exception {
        endsUnheard(true);
    }
}
