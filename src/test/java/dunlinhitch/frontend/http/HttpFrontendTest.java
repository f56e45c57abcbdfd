package dunlinhitch.frontend.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.Discovery;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Valid and invalid requests, sent as raw bytes. */
class HttpFrontendTest {
  private BrokerFixture fixture;

  @BeforeEach
  void setUp() throws Exception {
    fixture = new BrokerFixture();
    fixture.maxSockets = 64;
    fixture.discovery.setList();
    fixture.start(BrokerFixture.settings(300), null);
  }

  @AfterEach
  void tearDown() throws Exception {
    fixture.close();
  }

  /** Sends a request on a separate connection and returns the status of the response. */
  private int status(String text) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.httpPort)) {
      socket.setSoTimeout(5_000);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      return Integer.parseInt(
          new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8))
              .readLine()
              .split(" ", -1)[1]);
    }
  }

  /**
   * Returns everything that is received until the connection closes; fails if it does not close.
   */
  private String untilClosed(Socket socket) throws IOException {
    socket.setSoTimeout(5_000);
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  /**
   * Guards against the exhaustion of file descriptors: a separate thread accepts connections even
   * while the event loop, which closes excess connections, is blocked.
   */
  @Test
  void acceptsNoMoreThanTheBoundWhileLoopIsBlocked() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    fixture.vertx.runOnContext(
        v -> {
          blocked.countDown();
          try {
            released.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    blocked.await();
    List<Socket> connections = new ArrayList<>();
    // Clients get the descriptors that remain after the shares of backends and of the process.
    int maxOpen = fixture.maxSockets - fixture.maxSockets / 4 - 24;
    for (int i = 0; i < 2 * fixture.maxSockets; i++) {
      connections.add(new Socket(InetAddress.getLoopbackAddress(), fixture.httpPort));
    }
    long endMs = System.currentTimeMillis() + 5_000;
    while (fixture.listener.open() < maxOpen && System.currentTimeMillis() < endMs) {
      Thread.onSpinWait();
    }
    assertEquals(maxOpen, fixture.listener.open());
    released.countDown();
    assertEquals(200, status("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"));
    assertTrue(fixture.listener.open() <= maxOpen);
    for (Socket socket : connections) {
      socket.close();
    }
  }

  /** A body with ambiguous framing may hide a second request: neither is served. */
  @Test
  void requestSmugglingIsRejected() throws IOException {
    String hidden =
        post(
            "/free-search",
            "X-Trace-Id: b\r\nContent-Length: " + Client.body(1).length() + "\r\n",
            Client.body(1));
    for (String framing :
        List.of(
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "Content-Length: 5, 6\r\n",
            "Content-Length: 5\r\nContent-Length: 6\r\n",
            "Content-Length: -5\r\n",
            "Content-Length: 99999999999999999999\r\n",
            "Content-Length: 0x5\r\n")) {
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.httpPort)) {
        socket
            .getOutputStream()
            .write(
                post("/free-search", "X-Trace-Id: a\r\n" + framing, "0\r\n\r\n" + hidden)
                    .getBytes(StandardCharsets.UTF_8));
        assertTrue(
            untilClosed(socket).matches("(?s)HTTP/1.1 4[0-9][0-9] (?!.*HTTP/1.1).*"), framing);
      }
    }
    assertEquals(0, fixture.counter("queries_taken"));
  }

  /**
   * A repeated tenant header is valid only if all its values are equal. A header of 60,000
   * characters is rejected.
   */
  @Test
  void repeatedTenantHeaderIsUnknownUnlessEqual() throws Exception {
    tearDown();
    fixture = new BrokerFixture();
    fixture.discovery.setList();
    fixture.start(BrokerFixture.twoSteps(300), null);
    String repeatedHeaders =
        "X-Trace-Id: a%d\r\nX-Expires-In: 0.050\r\nX-Customer: north\r\nX-Customer: %s\r\nContent-Length: "
            + Client.body(1).getBytes(StandardCharsets.UTF_8).length
            + "\r\n";
    status(post("/free-search", repeatedHeaders.formatted(1, "north"), Client.body(1)));
    assertEquals(0, fixture.counter("tenants_unknown"));
    status(post("/free-search", repeatedHeaders.formatted(2, "south"), Client.body(1)));
    assertEquals(1, fixture.counter("tenants_unknown"));
    assertEquals(
        431,
        status(
            "POST /free-search HTTP/1.1\r\nHost: x\r\nX-Customer: "
                + "n".repeat(60_000)
                + "\r\n\r\n"));
    assertEquals(2, fixture.counter("queries_taken"));
  }

  /** A silent connection, and a head or a body that never ends, are closed within 3 s. */
  @Test
  void incompleteRequestsTimeOut() throws IOException {
    List<Socket> sockets = new ArrayList<>();
    for (String start :
        List.of(
            "",
            "POST /free-search HTTP/1.1\r\nX-",
            post("/free-search", "X-Trace-Id: a\r\nContent-Length: 500\r\n", "{"))) {
      sockets.add(new Socket(InetAddress.getLoopbackAddress(), fixture.httpPort));
      sockets
          .get(sockets.size() - 1)
          .getOutputStream()
          .write(start.getBytes(StandardCharsets.UTF_8));
    }
    long from = System.nanoTime();
    for (Socket socket : sockets) {
      assertEquals(
          socket == sockets.get(0) ? "" : "HTTP/1.1 503",
          untilClosed(socket).split(" Service", -1)[0]);
      socket.close();
    }
    assertTrue(System.nanoTime() - from < 3_000_000_000L);
  }

  /** A reset by a client is expected: it is counted, and Vert.x must not log it as an error. */
  @Test
  void clientResetIsCountedAndNotLogged() throws Exception {
    List<String> lines = new CopyOnWriteArrayList<>();
    Handler handler =
        new Handler() {
          @Override
          public void publish(LogRecord line) {
            if (String.valueOf(line.getMessage()).contains("reset")) {
              lines.add(line.getLoggerName() + ": " + line.getMessage());
            }
          }

          @Override
          public void flush() {
            // nothing is buffered
          }

          @Override
          public void close() {
            // there is nothing to close
          }
        };
    Logger.getLogger("").addHandler(handler);
    try {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.httpPort);
      socket
          .getOutputStream()
          .write("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      assertTrue(socket.getInputStream().read() >= 0);
      socket.setSoLinger(true, 0); // with unread bytes and no linger time, the close is a reset
      socket.close();
      while (fixture.counter("clients_reset") < 1 && lines.isEmpty()) {
        Thread.onSpinWait();
      }
      assertEquals(List.of(), lines);
      assertEquals(0, fixture.counter("faults"));
    } finally {
      Logger.getLogger("").removeHandler(handler);
    }
  }

  /** Connections that send nothing are evicted to make room for one with a query. */
  @Test
  void silentConnectionsAreEvictedForAQuery() throws IOException {
    List<Socket> silent = new ArrayList<>();
    for (int i = 0; i < 2 * fixture.maxSockets; i++) {
      silent.add(new Socket(InetAddress.getLoopbackAddress(), fixture.httpPort));
    }
    assertEquals(200, status("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"));
    assertTrue(fixture.counter("clients_crowded_out") >= fixture.maxSockets);
    for (Socket socket : silent) {
      socket.close();
    }
  }

  /** The body of a rejected request is not awaited. */
  @Test
  void rejectionBeforeBodyEndsConnection() throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.httpPort)) {
      socket
          .getOutputStream()
          .write(
              post("/other", "Content-Length: 60000000\r\n", "{").getBytes(StandardCharsets.UTF_8));
      assertTrue(untilClosed(socket).startsWith("HTTP/1.1 404 "));
    }
  }

  private static String post(String path, String headers, String body) {
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" + body;
  }

  @Test
  void badRequestsGetTheirStatus() throws IOException {
    String id = "X-Trace-Id: a\r\n";
    assertEquals(400, status("nonsense\r\n\r\n"));
    assertEquals(404, status(post("/other", id + "Content-Length: 2\r\n", "{}")));
    assertEquals(405, status("GET /free-search HTTP/1.1\r\nHost: x\r\n\r\n"));
    assertEquals(405, status(post("/stats", "Content-Length: 0\r\n", "")));
    assertEquals(413, status(post("/free-search", id + "Content-Length: 65537\r\n", "")));
    assertEquals(
        413,
        status(
            post(
                "/free-search",
                id + "Transfer-Encoding: chunked\r\n",
                "10001\r\n" + " ".repeat(0x10001) + "\r\n0\r\n\r\n")));
    assertEquals(400, status(post("/free-search", id + "Content-Length: 2\r\n", "{}")));
    assertEquals(
        400,
        status(
            post(
                "/free-search",
                id
                    + "X-Expires-In: soon\r\nContent-Length: "
                    + Client.body(1).getBytes(StandardCharsets.UTF_8).length
                    + "\r\n",
                Client.body(1))));
    // the reducer counts a request in a turn that follows the response to the request
    while (fixture.counter("bad_requests") < 8) {
      Thread.onSpinWait();
    }
    assertEquals(0, fixture.counter("queries_taken"));
  }

  @Test
  void chunkedBodyIsAccepted() throws Exception {
    byte[] body = Client.body(1).getBytes(StandardCharsets.UTF_8);
    String text =
        post(
            "/free-search",
            "X-Trace-Id: a\r\nX-Expires-In: 0.1\r\nTransfer-Encoding: chunked\r\n",
            Integer.toHexString(body.length) + "\r\n" + Client.body(1) + "\r\n0\r\n\r\n");
    assertEquals(503, status(text), "no store has the range, so the query is rejected");
    assertEquals(1, fixture.counter("queries_taken"));
  }

  /**
   * After the stop request connected clients are still served, because the other brokers may be
   * restarting too. Later, idle connections are closed while clients can still connect again.
   */
  @Test
  void connectionsAreServedDuringDrainAndClosedBeforeListener() throws Exception {
    try (Socket idle = new Socket(InetAddress.getLoopbackAddress(), fixture.httpPort)) {
      idle.setSoTimeout(5_000);
      BufferedReader in =
          new BufferedReader(new InputStreamReader(idle.getInputStream(), StandardCharsets.UTF_8));
      var ended = fixture.stop();
      assertEquals(503, status("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"));
      for (int i = 0; i < 2; i++) {
        idle.getOutputStream()
            .write("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
        assertTrue(in.readLine().contains("200"));
        while (!in.readLine().equals("live")) {
          assertTrue(
              !ended.isDone(), "the shutdown must not complete while connections are served");
        }
      }
      while (in.readLine() != null) {
        assertTrue(!ended.isDone(), "connection must be closed before the listener");
      }
      assertEquals(200, status("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n"));
      ended.get(5, TimeUnit.SECONDS);
    }
  }

  private static String query(String id, double seconds, String more) {
    return post(
        "/free-search",
        "X-Trace-Id: "
            + id
            + "\r\nX-Expires-In: "
            + seconds
            + "\r\n"
            + more
            + "Content-Length: "
            + Client.body(1).getBytes(StandardCharsets.UTF_8).length
            + "\r\n",
        Client.body(1));
  }

  /**
   * While a request waits for its response, Vert.x stops reading and so would not detect a
   * disconnect.
   */
  @Test
  void disconnectBehindPipelinedRequestsIsDetected() throws Exception {
    for (int more : List.of(1, 40, 2_000)) {
      long disconnects = fixture.counter("client_left");
      StringBuilder text = new StringBuilder(query("first" + more, 1.0, ""));
      for (int i = 0; i < more; i++) {
        text.append(query("more" + more + "." + i, 1.0, ""));
      }
      try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.httpPort)) {
        socket.getOutputStream().write(text.toString().getBytes(StandardCharsets.UTF_8));
      }
      while (fixture.counter("client_left") == disconnects
          && fixture.counter("refused") + fixture.counter("out_of_time") == 0) {
        Thread.onSpinWait();
      }
      assertEquals(disconnects + 1, fixture.counter("client_left"), more + " more requests");
    }
  }

  /** An incomplete head, an incomplete body and a silent connection do not delay the shutdown. */
  @Test
  void incompleteRequestIsRefusedAtShutdownWithoutDelay() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    var ended = fixture.stop();
    for (String start :
        List.of(
            "POST /free-search HTTP/1.1\r\nX-",
            post("/free-search", "X-Trace-Id: a\r\nContent-Length: 500\r\n", "{"),
            "")) {
      sockets.add(new Socket(InetAddress.getLoopbackAddress(), fixture.httpPort));
      sockets
          .get(sockets.size() - 1)
          .getOutputStream()
          .write(start.getBytes(StandardCharsets.UTF_8));
    }
    for (Socket socket : sockets) {
      assertEquals(
          socket == sockets.get(2) ? "" : "HTTP/1.1 503",
          untilClosed(socket).split(" Service", -1)[0]);
      assertTrue(!ended.isDone(), "shutdown completed before its clients were answered");
    }
    ended.get(5, TimeUnit.SECONDS);
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** A watch that receives nothing is reopened, and the cached list stays in use. */
  @Test
  void unresponsiveWatchIsReopened() throws Exception {
    fixture.discovery.pushChange(Discovery.entry("s-9", 9, "a", 0, "ready", ""));
    assertTrue(fixture.discovery.requests.poll(5, TimeUnit.SECONDS) != null);
    assertEquals(
        "/registry/instances?follow=1&since=2",
        fixture.discovery.requests.poll(12, TimeUnit.SECONDS));
    assertEquals(1, fixture.counter("roster_lost"));
  }

  @Test
  void watchResumesFromItsRevision() throws Exception {
    String requested = fixture.discovery.requests.poll(5, TimeUnit.SECONDS);
    assertEquals("/registry/instances?follow=1&since=0", requested);
    fixture.discovery.pushChange(
        Discovery.entry("s-9", 9, "a", 0, "ready", ""),
        "{\"instanceId\":\"bad\"}",
        Discovery.entry("s-8", 8, "nowhere", 0, "ready", ""));
    while (fixture.counter("bad_roster_entries") < 2) {
      Thread.onSpinWait();
    }
    fixture.discovery.watches.get(0).reset();
    assertEquals(
        "/registry/instances?follow=1&since=2",
        fixture.discovery.requests.poll(5, TimeUnit.SECONDS));
    assertTrue(fixture.counter("roster_lost") >= 1);
  }

  /** Lists may be indented, so a line feed does not mark the end of a list. */
  @Test
  void indentedListIsParsed() throws Exception {
    assertEquals(
        "/registry/instances?follow=1&since=0",
        fixture.discovery.requests.poll(5, TimeUnit.SECONDS));
    fixture.discovery.indented = true;
    fixture.discovery.pushChange(Discovery.entry("s-9", 9, "a", 0, "ready", ""));
    fixture.discovery.setList(Discovery.entry("s-8", 8, "a", 0, "ready", ""));
    while (fixture.counter("roster_news") < 2) {
      Thread.onSpinWait();
    }
    fixture.discovery.watches.get(0).reset();
    assertEquals(
        "/registry/instances?follow=1&since=2",
        fixture.discovery.requests.poll(5, TimeUnit.SECONDS));
    while (fixture.counter("roster_news") < 3) {
      Thread.onSpinWait();
    }
    fixture.discovery.watches.get(1).reset();
    assertEquals(
        "/registry/instances?follow=1&since=3",
        fixture.discovery.requests.poll(5, TimeUnit.SECONDS));
    assertEquals(0, fixture.counter("bad_roster_entries"));
  }
}
