package dunlinhitch.frontend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.Event;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.frontend.flight.FlightFrontend;
import dunlinhitch.frontend.http.HttpFrontend;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against requests that get no answer and no close because the code that handles them
 * throws. Bodies of nested arrays ended the parser in a stack overflow, and each such request held
 * its connection until the client left.
 */
class FrontendFaultTest {
  /** Where a fault is thrown while a query is handled, and of which kind it is. */
  enum Fault {
    ERROR_IN_READER,
    EXCEPTION_IN_REDUCER_QUEUE,
    ERROR_IN_REDUCER_QUEUE;

    void raise(boolean inReader) {
      if (inReader != name().endsWith("READER")) {
        return;
      }
      if (name().startsWith("ERROR")) {
        throw new StackOverflowError("test");
      }
      throw new IllegalStateException("test");
    }
  }

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Context context = vertx.getOrCreateContext();
  private final BlockingQueue<Throwable> reported = new LinkedBlockingQueue<>();
  private final AtomicInteger settingsReads = new AtomicInteger();
  private final Exchanges exchanges = new Exchanges(this::accept);
  private volatile Fault fault;

  @BeforeEach
  void setUp() {
    vertx.exceptionHandler(reported::add);
  }

  @AfterEach
  void tearDown() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private void accept(Event event) {
    if (event instanceof Event.QueryReceived) {
      fault.raise(false);
    }
  }

  /** The settings are read first to find the class, and again while the body is read. */
  private Settings settings() {
    if (settingsReads.incrementAndGet() > 1) {
      fault.raise(true);
    }
    return BrokerFixture.settings(100);
  }

  private int listen(Frontend frontend) throws Exception {
    CompletableFuture<Integer> port = new CompletableFuture<>();
    context.runOnContext(
        ignored ->
            frontend
                .listen("127.0.0.1", 0)
                .onSuccess(port::complete)
                .onFailure(port::completeExceptionally));
    return port.get(10, TimeUnit.SECONDS);
  }

  private QueryReader reader() {
    return new QueryReader(this::settings);
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void httpRequestIsFailedAndItsConnectionCloses(Fault thrown) throws Exception {
    fault = thrown;
    int port =
        listen(
            new HttpFrontend(
                vertx,
                exchanges,
                reader(),
                this::accept,
                () -> 0,
                () -> 20,
                () -> true,
                () -> "",
                null,
                24));
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      assertTrue(exchange(socket).startsWith("HTTP/1.1 500 "));
    }
    assertNotNull(reported.poll(5, TimeUnit.SECONDS));
  }

  private static String exchange(Socket socket) throws IOException {
    byte[] body = Client.body(1).getBytes(StandardCharsets.UTF_8);
    String head =
        "POST /free-search HTTP/1.1\r\nHost: x\r\nX-Trace-Id: a\r\nContent-Length: "
            + body.length
            + "\r\n\r\n";
    socket.setSoTimeout(5_000);
    socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().write(body);
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  @ParameterizedTest
  @EnumSource(Fault.class)
  void flightCallIsFailed(Fault thrown) throws Exception {
    fault = thrown;
    FlightFrontend frontend =
        new FlightFrontend(vertx, context, exchanges, reader(), this::accept, () -> 0);
    Client client = Client.flight(listen(frontend));
    assertEquals(
        "failed",
        client
            .send("free-search", Map.of("X-Trace-Id", "a"), Client.body(1))
            .get(5, TimeUnit.SECONDS)
            .outcome());
    assertNotNull(reported.poll(5, TimeUnit.SECONDS));
    client.close();
    frontend.close(0).toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }
}
