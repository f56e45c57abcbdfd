package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.eclipsesource.json.Json;
import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Product;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.core.Reducer;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.frontend.http.ClientListener;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Both frontends of a broker whose reducer loses every event, as it does in a failed turn. */
class FrontendsTest {
  private static final Address ANY = new Address("127.0.0.1", 0);

  private final ClientListener listener = new ClientListener(null);
  private Vertx vertx;
  private Frontends frontends;

  @BeforeEach
  void setUp() throws Exception {
    vertx =
        Vertx.builder()
            .withTransport(listener)
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .build();
    Context context = vertx.getOrCreateContext();
    CompletableFuture<Void> listening = new CompletableFuture<>();
    context.runOnContext(
        ignored -> {
          frontends = createFrontends(context);
          frontends
              .listen()
              .onSuccess(listening::complete)
              .onFailure(listening::completeExceptionally);
        });
    listening.get(10, TimeUnit.SECONDS);
  }

  private Frontends createFrontends(Context context) {
    MicroClock clock = new MicroClock();
    Product product = new Product(ANY, true, List.of(), null, null, null, List.of(), null);
    Config config =
        new Config(
            "n0",
            ANY,
            ANY,
            ANY,
            7,
            Json.object(),
            Config.DEFAULT_SOCKETS,
            BrokerFixture.settings(300),
            product,
            null,
            0);
    return new Frontends(
        new BrokerRuntime(vertx, context, config, clock, line -> {}),
        new Reducer(config.settings(), 1, clock.getAsLong()),
        new DescriptorBudget(config.sockets(), false),
        listener,
        () -> true,
        (Event lost) -> {});
  }

  @AfterEach
  void tearDown() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  /** Guards against a request that waits forever for a query that the reducer does not know. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void queryLostByTheReducerExpires(boolean flight) throws Exception {
    Client client =
        flight ? Client.flight(frontends.flightPort()) : Client.http(frontends.httpPort());
    Map<String, String> headers = Map.of("X-Trace-Id", "a", "X-Expires-In", "0.100");
    assertEquals(
        "late",
        client.send("free-search", headers, Client.body(1)).get(5, TimeUnit.SECONDS).outcome());
    client.close();
  }
}
