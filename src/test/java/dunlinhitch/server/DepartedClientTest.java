package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Client.Got;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Stage;
import dunlinhitch.experiments.fakes.Store;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client that leaves while its part waits for a connection that comes up late: the whole way,
 * from its socket to the store's.
 */
class DepartedClientTest {
  /**
   * A store that takes connections when the script does; until then its queue of them is full, and
   * a new one stays pending.
   */
  private static final class LateStore extends Store implements AutoCloseable {
    private final ServerSocket listening = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> ahead = List.of(filler(), filler());

    LateStore() throws Exception {
      super("s-0");
    }

    private Socket filler() throws Exception {
      return new Socket(InetAddress.getLoopbackAddress(), listening.getLocalPort());
    }

    Socket accept() throws Exception {
      for (int i = 0; i < ahead.size(); i++) {
        listening.accept().close();
      }
      return listening.accept();
    }

    @Override
    public int port() {
      return listening.getLocalPort();
    }

    @Override
    public String protocol() {
      return "frames";
    }

    @Override
    public void close() throws IOException {
      listening.close();
      for (Socket socket : ahead) {
        socket.close();
      }
    }
  }

  /**
   * Times so long that a connection which the system tries again after seconds is still waited for.
   */
  private static Settings patient(boolean mayCancel) {
    Settings s = Stage.settings(300);
    Limits l = s.limits();
    QueryClass kind =
        new QueryClass(
            "free-search",
            20_000_000,
            0,
            25_000_000,
            Idempotency.FREE,
            0.1,
            0,
            3,
            false,
            0,
            1,
            1,
            1);
    return new Settings(
        s.brokers(),
        s.zones(),
        s.zone(),
        s.tickUs(),
        List.of(kind),
        s.tenants(),
        s.overQuotaWeight(),
        s.layout(),
        new Limits(
            l.maxAttempts(),
            l.maxInFlight(),
            mayCancel,
            false,
            l.parallelAttempts(),
            l.retryAfter(),
            l.maxRetryAfterUs(),
            20_000_000,
            l.streamsPerConnection(),
            l.connectionIdleUs()),
        s.rules(),
        s.prices(),
        s.mustPollServerList(),
        s.reportsInAnswers(),
        s.reportsInHealthChecks(),
        s.reportFields(),
        s.marksRepeats());
  }

  private static void until(BooleanSupplier holds) {
    long end = System.nanoTime() + 10_000_000_000L;
    while (!holds.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, "it never came to be");
      Thread.onSpinWait();
    }
  }

  private static CompletableFuture<Got> ask(Client client, String id) {
    return client.ask(
        "free-search", Map.of("X-Trace-Id", id, "X-Expires-In", "25"), Client.body(0));
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void itsPartDoesNotLeaveWhenTheConnectionIsUp(boolean mayCancel) throws Exception {
    Stage stage = new Stage();
    try (LateStore store = new LateStore()) {
      stage.list(store);
      stage.start(patient(mayCancel), null);
      Client client = Client.http(stage.httpPort);
      until(() -> stage.count("roster_news") > 0);
      CompletableFuture<Got> left = ask(client, "q1");
      until(() -> stage.count("attempts_sent") == 1);
      left.cancel(true);
      until(() -> stage.count("client_left") == 1);
      CompletableFuture<Got> stays = ask(client, "q2");
      until(() -> stage.count("attempts_sent") == 2);
      try (Socket taken = store.accept()) {
        taken.setSoTimeout(10_000);
        DataInputStream in = new DataInputStream(taken.getInputStream());
        byte[] frame = in.readNBytes(Integer.reverseBytes(in.readInt()));
        assertEquals("mq2.0 ", new String(frame, 0, 6, StandardCharsets.US_ASCII));
        taken.getOutputStream().write(FrameStore.frame('q', "q2.0 good 1 -\nv").getBytes());
        assertEquals("whole", stays.get(10, TimeUnit.SECONDS).end());
        assertEquals(1, stage.count("attempts_written"));
      }
      client.close();
    } finally {
      stage.close();
    }
  }

  /**
   * While the loop is behind a client asks and leaves: both are read before the turn that would
   * send for it.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aRequestThatIsReadTogetherWithItsClientsEndIsNotSent(boolean reset) throws Exception {
    Stage stage = new Stage();
    FrameStore store = new FrameStore(stage.vertx, "s-0");
    try {
      stage.list(store);
      stage.start(patient(true), null);
      until(() -> stage.count("roster_news") > 0);
      CountDownLatch behind = new CountDownLatch(1);
      CountDownLatch goOn = new CountDownLatch(1);
      try (Socket socket = new Socket("127.0.0.1", stage.httpPort)) {
        Client.http(stage.httpPort)
            .ask("none", Map.of(), "")
            .get(10, TimeUnit.SECONDS); // so both connections are made
        stage.vertx.runOnContext(
            v -> {
              behind.countDown();
              try {
                goOn.await();
                Thread.sleep(20); // the next turn is due at once
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              }
            });
        behind.await();
        String body = Client.body(0);
        socket
            .getOutputStream()
            .write(
                ("POST /free-search HTTP/1.1\r\nHost: x\r\nX-Trace-Id: q\r\nX-Expires-In: 20\r\nContent-Length: "
                        + body.getBytes(StandardCharsets.UTF_8).length
                        + "\r\n\r\n"
                        + body)
                    .getBytes(StandardCharsets.UTF_8));
        socket.setSoLinger(reset, 0);
      }
      goOn.countDown();
      until(() -> stage.count("client_left") == 1);
      assertEquals(0, stage.count("attempts_sent"));
      assertEquals(1, stage.count("queries_taken"));
    } finally {
      store.close();
      stage.close();
    }
  }
}
