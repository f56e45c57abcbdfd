package dunlinhitch.frontend.http;

import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.frontend.QueryReader;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A frontend that listens alone on one event loop, without a broker behind it. */
final class ListeningFrontend {
  static final QueryReader READER = new QueryReader(() -> BrokerFixture.settings(300));
  static final int MAX_DESCRIPTORS = 24;

  private static final int TIMEOUT_S = 10;
  private static final int READ_TIMEOUT_MS = 5_000;

  /** Creates the frontend on its event loop. */
  interface Factory {
    HttpFrontend create(Vertx vertx);
  }

  final Vertx vertx;
  final HttpFrontend frontend;
  final int port;

  ListeningFrontend(ClientListener listener, Factory factory) throws Exception {
    vertx =
        Vertx.builder()
            .withTransport(listener)
            .with(new VertxOptions().setEventLoopPoolSize(1))
            .build();
    CompletableFuture<HttpFrontend> created = new CompletableFuture<>();
    CompletableFuture<Integer> bound = new CompletableFuture<>();
    vertx.runOnContext(
        v -> {
          HttpFrontend http = factory.create(vertx);
          created.complete(http);
          http.listen("127.0.0.1", 0)
              .onSuccess(bound::complete)
              .onFailure(bound::completeExceptionally);
        });
    frontend = created.get(TIMEOUT_S, TimeUnit.SECONDS);
    port = bound.get(TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Opens a connection of a client. */
  Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setSoTimeout(READ_TIMEOUT_MS);
    return socket;
  }

  /** Closes the event loop with all connections. */
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_S, TimeUnit.SECONDS);
  }
}
