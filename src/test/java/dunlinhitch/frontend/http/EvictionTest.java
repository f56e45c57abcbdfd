package dunlinhitch.frontend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.frontend.Exchanges;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Which connection ends when there are too many; the frontend alone, on a clock of the test. */
class EvictionTest {
  private static final String PAGE = "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n";
  private static final String HALF_OF_BODY =
      "POST /free-search HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(30_000);
  private static final int MAX_CONNECTIONS = 2;
  private static final long SLOW_US = 600_000;

  private final AtomicLong clockUs = new AtomicLong();
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
                    event -> {},
                    clockUs::get,
                    () -> MAX_CONNECTIONS,
                    () -> true,
                    () -> "",
                    listener,
                    ListeningFrontend.MAX_DESCRIPTORS));
  }

  @AfterEach
  void tearDown() throws Exception {
    listening.close();
  }

  private static void ask(Socket socket) throws Exception {
    HttpText.write(socket, PAGE);
    assertTrue(HttpText.readResponse(socket).startsWith("HTTP/1.1 200 "));
  }

  /** Guards against a crowd in half a body that ends usual clients between two queries. */
  @Test
  void slowRequestIsEvictedBeforeIdleConnection() throws Exception {
    try (Socket usual = listening.connect();
        Socket slow = listening.connect()) {
      HttpText.write(slow, HALF_OF_BODY);
      ask(usual); // both are accepted in order, so this one is read after the other
      clockUs.addAndGet(SLOW_US);
      ask(usual);
      try (Socket other = listening.connect()) {
        ask(other);
        ask(usual);
        assertEquals("HTTP/1.1 503 ", HttpText.readResponse(slow).substring(0, 13));
      }
    }
  }
}
