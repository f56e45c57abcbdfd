package dunlinhitch.frontend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.core.Event;
import dunlinhitch.core.QueryResponse;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.frontend.Exchanges;
import io.netty.channel.EventLoopGroup;
import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxInternal;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The frontend alone, with a test clock: timeouts that coincide with received bytes. */
class HttpFrontendTimingTest {
  private final AtomicLong nowUs = new AtomicLong(1);
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final Exchanges exchanges = new Exchanges(events::add);

  /** Remaining number of accept calls that will fail. */
  private final AtomicInteger failingAccepts = new AtomicInteger();

  private ListeningFrontend listening;
  private Vertx vertx;
  private HttpFrontend frontend;

  @BeforeEach
  void setUp() throws Exception {
    ClientListener listener = new ClientListener(null, this::accept);
    listening =
        new ListeningFrontend(
            listener,
            loop ->
                new HttpFrontend(
                    loop,
                    exchanges,
                    ListeningFrontend.READER,
                    events::add,
                    nowUs::get,
                    () -> 20,
                    () -> true,
                    () -> "",
                    listener,
                    ListeningFrontend.MAX_DESCRIPTORS));
    vertx = listening.vertx;
    frontend = listening.frontend;
  }

  @AfterEach
  void tearDown() throws Exception {
    listening.close();
  }

  private SocketChannel accept(ServerSocketChannel listener) throws IOException {
    if (failingAccepts.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
      throw new IOException("Software caused connection abort");
    }
    return listener.accept();
  }

  private Socket connect() throws IOException {
    return listening.connect();
  }

  private static String post(String id) {
    String body = Client.body(1);
    return "POST /free-search HTTP/1.1\r\nHost: x\r\nX-Trace-Id: "
        + id
        + "\r\nX-Expires-In: 1.000\r\nContent-Length: "
        + body.getBytes(StandardCharsets.UTF_8).length
        + "\r\n\r\n"
        + body;
  }

  private interface Action {
    void run() throws Exception;
  }

  /**
   * Runs {@code client} while the event loop is blocked, then {@code loop} on the event loop before
   * it reads the bytes that have arrived.
   */
  private void whileLoopIsBlocked(Action client, long advanceUs, Action loop) throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch done = new CountDownLatch(1);
    CountDownLatch finished = new CountDownLatch(1);
    vertx.runOnContext(
        v -> {
          blocked.countDown();
          try {
            done.await();
            nowUs.addAndGet(advanceUs);
            loop.run();
          } catch (Exception event) {
            throw new IllegalStateException(event);
          }
          finished.countDown();
        });
    assertTrue(blocked.await(5, TimeUnit.SECONDS));
    client.run();
    done.countDown();
    assertTrue(finished.await(5, TimeUnit.SECONDS));
  }

  /** A request is served if it arrives just as its connection times out or is drained. */
  @Test
  void requestCrossingTimeoutIsServed() throws Exception {
    try (Socket idle = connect();
        Socket silent = connect();
        Socket resting = connect()) {
      for (Socket socket : List.of(idle, resting)) {
        HttpText.write(socket, "GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n");
        assertTrue(HttpText.readResponse(socket).endsWith("live\n"));
      }
      whileLoopIsBlocked(
          () -> {
            HttpText.write(idle, post("a"));
            HttpText.write(silent, post("b"));
          },
          6_000_000,
          frontend::closeTimedOut);
      assertTrue(
          events.stream()
              .noneMatch(
                  event ->
                      event instanceof Event.ConditionCounted counted
                          && counted.counter() == dunlinhitch.core.Counter.CLIENTS_SLOW));
      assertEquals(
          -1,
          resting.getInputStream().read(),
          "a connection without a request must be closed after the same idle time");
      for (int i = 1; i <= 2; i++) {
        long exchange = i;
        vertx.runOnContext(v -> exchanges.complete(exchange, new QueryResponse.Rejected(0)));
      }
      assertTrue(
          HttpText.readResponse(idle).startsWith("HTTP/1.1 503 ")
              && HttpText.readResponse(silent).startsWith("HTTP/1.1 503 "));
      whileLoopIsBlocked(() -> HttpText.write(idle, post("c")), 0, frontend::drain);
      vertx.runOnContext(v -> exchanges.complete(3, new QueryResponse.Rejected(0)));
      String last = HttpText.readResponse(idle);
      assertTrue(last.startsWith("HTTP/1.1 503 ") && last.contains("close"), last);
      assertEquals(-1, idle.getInputStream().read());
    }
  }

  /**
   * A client that never reads would otherwise occupy its connection and the memory of its response
   * forever.
   */
  @Test
  void clientThatNeverReadsResponseIsDisconnected() throws Exception {
    String large = "x".repeat(32 << 20);
    try (Socket socket = connect()) {
      HttpText.write(socket, post("a"));
      while (!(events.poll(5, TimeUnit.SECONDS) instanceof Event.QueryReceived)) {
        assertTrue(socket.isConnected());
      }
      whileLoopIsBlocked(
          () -> {},
          0,
          () ->
              exchanges.complete(
                  1,
                  new QueryResponse.Served(true, List.of(new QueryResponse.PartValue(1, large)))));
      whileLoopIsBlocked(() -> {}, 6_000_000, frontend::closeTimedOut);
      long received = 0;
      try {
        byte[] buffer = new byte[1 << 16];
        for (int n = socket.getInputStream().read(buffer);
            n >= 0;
            n = socket.getInputStream().read(buffer)) {
          received += n;
        }
      } catch (java.net.SocketException reset) { // a reset is also accepted
      }
      assertTrue(received < large.length(), "the complete response was still buffered");
    }
  }

  /** A client that continues to write after its response reads the end of stream, not a reset. */
  @Test
  @SuppressWarnings("ThreadPriorityCheck") // gives the frontend time to close between two writes
  void everyCloseLingersAndLaterRequestsAreIgnored() throws Exception {
    for (String request :
        List.of(
            "GET /health/live HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n",
            "GET /health/live HTTP/1.0\r\n\r\n",
            "nonsense\r\n\r\n",
            "POST /other HTTP/1.1\r\nHost: x\r\nContent-Length: 900000\r\n\r\n")) {
      try (Socket socket = connect()) {
        HttpText.write(socket, request);
        HttpText.readResponse(socket);
        assertEquals(-1, socket.getInputStream().read(), "the output was not shut down");
        for (int i = 0; i < 50; i++) {
          HttpText.write(socket, post("behind"));
          Thread.yield();
        }
      }
    }
    assertTrue(
        events.stream().noneMatch(event -> event instanceof Event.QueryReceived),
        events.toString());
  }

  /**
   * Vert.x handles a pipelined request in the turn in which the previous response ends: it is
   * served unless that response announced the close.
   */
  @Test
  void pipelinedRequestIsServedUnlessAfterLastResponse() throws Exception {
    try (Socket socket = connect()) {
      HttpText.write(socket, post("a") + post("b") + post("c"));
      for (int i = 0; i < 3; i++) {
        Event.QueryReceived query = (Event.QueryReceived) events.poll(5, TimeUnit.SECONDS);
        assertEquals("abc".substring(i, i + 1), query.request().id());
        vertx.runOnContext(
            v -> exchanges.complete(query.exchange(), new QueryResponse.Rejected(0)));
        assertTrue(HttpText.readResponse(socket).startsWith("HTTP/1.1 503 "));
      }
    }
    whileLoopIsBlocked(() -> {}, 0, frontend::drain);
    try (Socket socket = connect()) {
      HttpText.write(socket, post("a") + post("b"));
      Event.QueryReceived query = (Event.QueryReceived) events.poll(5, TimeUnit.SECONDS);
      whileLoopIsBlocked(
          () -> {}, 0, () -> exchanges.complete(query.exchange(), new QueryResponse.Rejected(0)));
      assertTrue(HttpText.readResponse(socket).startsWith("HTTP/1.1 503 "));
      assertEquals(-1, socket.getInputStream().read(), "more than one response");
    }
    assertTrue(events.isEmpty(), events.toString());
  }

  /**
   * The start of a second request is already received when the response to the first one is
   * written: draining must not close the connection, and the rest of the request is awaited.
   */
  @Test
  void connectionWithStartedRequestIsNotIdle() throws Exception {
    try (Socket socket = connect()) {
      String next = post("b");
      HttpText.write(socket, post("a") + next.substring(0, 30));
      Event.QueryReceived query = (Event.QueryReceived) events.poll(5, TimeUnit.SECONDS);
      whileLoopIsBlocked(
          () -> {}, 0, () -> exchanges.complete(query.exchange(), new QueryResponse.Rejected(0)));
      assertTrue(HttpText.readResponse(socket).startsWith("HTTP/1.1 503 "));
      whileLoopIsBlocked(() -> {}, 200_000, frontend::drain);
      HttpText.write(socket, next.substring(30));
      assertTrue(events.poll(5, TimeUnit.SECONDS) instanceof Event.QueryReceived, "not served");
    }
  }

  /**
   * Connections that are still queued when the shutdown starts are accepted and refused before the
   * listener closes.
   */
  @Test
  void queuedConnectionsAreAcceptedAndRefused() throws Exception {
    EventLoopGroup acceptor = ((VertxInternal) vertx).acceptorEventLoopGroup();
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    CountDownLatch complete = new CountDownLatch(1);
    acceptor.execute(
        () -> {
          blocked.countDown();
          try {
            released.await();
          } catch (InterruptedException event) {
            Thread.currentThread().interrupt();
          }
        });
    blocked.await();
    List<Socket> queue = new ArrayList<>();
    for (int i = 0; i < 18; i++) { // 18 are more than Netty accepts in one read loop
      queue.add(connect());
      HttpText.write(queue.get(i), post("q" + i));
    }
    whileLoopIsBlocked(
        () -> {},
        0,
        () -> frontend.close(Long.MAX_VALUE / 2).onComplete(v -> complete.countDown()));
    acceptor.execute(closed::countDown);
    whileLoopIsBlocked(
        () -> {
          released.countDown();
          closed.await();
        },
        0,
        () -> {});
    for (Socket socket : queue) {
      assertTrue(HttpText.readResponse(socket).startsWith("HTTP/1.1 503 "));
      assertEquals(-1, socket.getInputStream().read());
      socket.close();
    }
    assertTrue(complete.await(5, TimeUnit.SECONDS));
    assertTrue(
        events.stream().noneMatch(event -> event instanceof Event.QueryReceived),
        events.toString());
  }

  /**
   * If the client closes or resets the connection before the body is complete, no query is
   * reported. If the client half-closes the connection after a complete request, a disconnect is
   * reported.
   */
  @Test
  void disconnectWithinRequestIsNoQueryAndHalfCloseIsDisconnect() throws Exception {
    String chunked =
        post("a")
            .replaceAll("Content-Length: [0-9]+", "Transfer-Encoding: chunked")
            .replaceAll("(?s)\r\n\r\n.*", "\r\n\r\n");
    for (String part :
        List.of(
            post("a").substring(0, post("a").length() - 5),
            chunked + "5\r\n{\"ran",
            chunked + "1\r\n{\r\n0\r\n")) {
      for (boolean reset : List.of(false, true)) {
        try (Socket socket = connect()) {
          HttpText.write(socket, part);
          whileLoopIsBlocked(() -> {}, 0, () -> {}); // lets the event loop read the bytes
          socket.setSoLinger(reset, 0);
        }
      }
    }
    try (Socket socket = connect()) {
      HttpText.write(socket, post("b"));
      assertEquals("b", ((Event.QueryReceived) nextQueryEvent()).request().id());
      socket.shutdownOutput();
      assertEquals(-1, socket.getInputStream().read());
      assertTrue(nextQueryEvent() instanceof Event.ClientDisconnected);
    }
    assertTrue(
        events.stream().noneMatch(event -> event instanceof Event.QueryReceived),
        events.toString());
  }

  /**
   * Returns the next event that is no counted condition: the reset of an earlier connection may be
   * counted at any time.
   */
  private Event nextQueryEvent() throws InterruptedException {
    Event event = events.poll(5, TimeUnit.SECONDS);
    while (event instanceof Event.ConditionCounted) {
      event = events.poll(5, TimeUnit.SECONDS);
    }
    return event;
  }

  /** If file descriptors run short, the oldest lingering connection is aborted. */
  @Test
  @SuppressWarnings("ThreadPriorityCheck") // gives the reset time to arrive between two writes
  void oldestLingeringConnectionIsEvicted() throws Exception {
    List<Socket> lingering = new ArrayList<>();
    for (int i = 0; i < 24; i++) {
      lingering.add(connect());
      HttpText.write(
          lingering.get(i), "GET /health/live HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      HttpText.readResponse(lingering.get(i));
      assertEquals(-1, lingering.get(i).getInputStream().read());
    }
    org.junit.jupiter.api.Assertions.assertThrows(
        IOException.class,
        () -> {
          for (int i = 0; i < 100; i++) {
            HttpText.write(lingering.get(0), "x");
            Thread.yield();
          }
        });
    for (Socket socket : lingering) {
      socket.close();
    }
  }

  /** Temporary failures of accept must not delay waiting clients by seconds. */
  @Test
  void failuresOfAcceptAreRetriedWithinMilliseconds() throws Exception {
    failingAccepts.set(20); // Netty itself would pause for one second after each failure
    try (Socket socket = connect()) {
      HttpText.write(socket, post("a"));
      assertTrue(events.poll(5, TimeUnit.SECONDS) instanceof Event.QueryReceived);
    }
    assertEquals(0, failingAccepts.get());
  }

  /** The listener closes while accept fails: clients in its queue are still answered. */
  @Test
  void queuedConnectionsAreAcceptedDespiteAcceptFailuresAtClose() throws Exception {
    failingAccepts.set(20);
    CountDownLatch complete = new CountDownLatch(1);
    try (Socket socket = connect()) {
      HttpText.write(socket, post("a"));
      whileLoopIsBlocked(
          () -> {},
          0,
          () -> frontend.close(Long.MAX_VALUE / 2).onComplete(v -> complete.countDown()));
      assertTrue(HttpText.readResponse(socket).startsWith("HTTP/1.1 503 "));
    }
    assertTrue(complete.await(5, TimeUnit.SECONDS));
  }

  /** A client that reads nothing of its response delays the shutdown at most to the deadline. */
  @Test
  void shutdownCompletesAtDeadlineDespiteClientThatReadsNothing() throws Exception {
    CountDownLatch complete = new CountDownLatch(1);
    try (Socket socket = connect()) {
      HttpText.write(socket, post("a"));
      assertTrue(events.poll(5, TimeUnit.SECONDS) instanceof Event.QueryReceived);
      whileLoopIsBlocked(
          () -> {},
          0,
          () ->
              exchanges.complete(
                  1,
                  new QueryResponse.Served(
                      true, List.of(new QueryResponse.PartValue(1, "x".repeat(32 << 20))))));
      whileLoopIsBlocked(
          () -> {},
          0,
          () -> frontend.close(nowUs.get() + 1_000_000).onComplete(v -> complete.countDown()));
      while (complete.getCount() > 0) {
        try (Socket next =
            new Socket(
                InetAddress.getLoopbackAddress(),
                listening.port)) { // may connect or be refused until the listener is closed
          assertTrue(next.isConnected());
        } catch (java.net.ConnectException closed) {
          break;
        } catch (java.net.SocketException reset) {
          // A connection made just before the listener closes may be reset; only a refused
          // connection shows that the listener is closed.
        }
      }
      assertEquals(1, complete.getCount(), "shutdown completed before its deadline");
      whileLoopIsBlocked(() -> {}, 1_000_000, () -> {});
      assertTrue(complete.await(5, TimeUnit.SECONDS));
    }
  }

  /** After a close only a bounded number of bytes is read and discarded. */
  @Test
  void discardedBytesAreBounded() throws Exception {
    try (Socket socket = connect()) {
      HttpText.write(socket, "nonsense\r\n\r\n");
      HttpText.readResponse(socket);
      org.junit.jupiter.api.Assertions.assertThrows(
          IOException.class,
          () -> {
            for (int i = 0; i < 4_000; i++) {
              HttpText.write(socket, "x".repeat(64 * 1024));
            }
          });
    }
  }
}
