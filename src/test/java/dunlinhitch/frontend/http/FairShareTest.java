package dunlinhitch.frontend.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.frontend.Exchanges;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** One connection's share of the event loop while others wait; the frontend alone. */
class FairShareTest {
  private static final int PIPELINED = 600;

  /** Number of requests of the pipeline that were handled. */
  private final AtomicInteger handled = new AtomicInteger();

  private ListeningFrontend listening;

  @BeforeEach
  void setUp() throws Exception {
    ClientListener listener = new ClientListener(null);
    listening =
        new ListeningFrontend(
            listener,
            loop ->
                new HttpFrontend(
                    loop,
                    new Exchanges(event -> {}),
                    ListeningFrontend.READER,
                    event -> handled.incrementAndGet(),
                    () -> System.nanoTime() / 1_000,
                    () -> 20,
                    () -> handled.incrementAndGet() > 0,
                    () -> "handled " + handled.get(),
                    listener,
                    ListeningFrontend.MAX_DESCRIPTORS));
  }

  @AfterEach
  void tearDown() throws Exception {
    listening.close();
  }

  /**
   * Guards against a connection that holds the event loop with a pipeline of requests that are
   * answered at once. Both connections have sent everything before the loop reads anything, the
   * pipeline first. The answer on the other connection states how many requests of the pipeline
   * were handled before it.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST /free-search HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}",
        "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
      })
  void aPipelineDoesNotDelayAnotherConnection(String pipelined) throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    try (Socket pipeline = connect();
        Socket single = connect()) {
      listening.vertx.runOnContext(
          v -> {
            blocked.countDown();
            awaitUninterruptibly(released);
          });
      blocked.await();
      HttpText.write(pipeline, pipelined.repeat(PIPELINED));
      HttpText.write(single, "GET /stats HTTP/1.1\r\nHost: x\r\n\r\n");
      released.countDown();
      String stats = HttpText.readResponse(single);
      int before = Integer.parseInt(stats.substring(stats.indexOf("handled ") + 8));
      assertTrue(before < PIPELINED / 4, () -> before + " requests were handled before");
      for (int i = 0; i < PIPELINED; i++) {
        assertTrue(HttpText.readResponse(pipeline).startsWith("HTTP/1.1 "));
      }
    }
  }

  /** Opens a connection that the event loop has accepted and answered on once. */
  private Socket connect() throws Exception {
    Socket socket = listening.connect();
    HttpText.write(socket, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n");
    HttpText.readResponse(socket);
    return socket;
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
