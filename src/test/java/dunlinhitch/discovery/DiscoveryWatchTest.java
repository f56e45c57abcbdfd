package dunlinhitch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.experiments.fakes.BrokerFixture;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The watch on real connections to a scripted discovery server, with a manual clock. */
class DiscoveryWatchTest {
  private static final long RETRY_US = 120_000;
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private final Vertx vertx =
      Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
  private final Context context = vertx.getOrCreateContext();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final AtomicLong clock = new AtomicLong(1_000_000_000);
  private final List<FakeDiscovery> servers = new ArrayList<>();
  private final Settings settings = BrokerFixture.settings(40);
  private DiscoveryWatch watch;
  private FakeDiscovery discovery;

  /** A connection on which the watch has sent a request. */
  private record Request(Socket socket, String requestLine) {
    void write(String text) throws IOException {
      write(text.getBytes(StandardCharsets.UTF_8));
    }

    void write(byte[] bytes) throws IOException {
      socket.getOutputStream().write(bytes);
      socket.getOutputStream().flush();
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    /** Waits until the watch has closed or reset the connection. */
    void awaitClosed() throws IOException {
      socket.setSoTimeout(10_000);
      try {
        assertEquals(-1, socket.getInputStream().read());
      } catch (SocketException e) {
        assertTrue(e.getMessage().contains("reset"), e.getMessage());
      }
    }
  }

  /** A server that accepts connections and reads request heads; the test writes the responses. */
  private final class FakeDiscovery implements AutoCloseable {
    private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final BlockingQueue<Request> requests = new LinkedBlockingQueue<>();

    FakeDiscovery() throws IOException {
      servers.add(this);
      Thread thread =
          new Thread(
              () -> {
                while (!socket.isClosed()) {
                  try {
                    Socket accepted = socket.accept();
                    requests.add(new Request(accepted, head(accepted)));
                  } catch (IOException e) {
                    // the test has ended, or the watch has closed the connection
                  }
                }
              });
      thread.setDaemon(true);
      thread.start();
    }

    private String head(Socket accepted) throws IOException {
      InputStream in = accepted.getInputStream();
      StringBuilder head = new StringBuilder();
      for (int b = in.read();
          b >= 0 && head.indexOf("\r\n\r\n") < 0;
          b = head.indexOf("\r\n\r\n") < 0 ? in.read() : 0) {
        head.append((char) b);
      }
      return head.isEmpty() ? "" : head.substring(0, head.indexOf("\r\n"));
    }

    Request next() throws InterruptedException {
      Request next = requests.poll(10, TimeUnit.SECONDS);
      assertNotNull(next, "no request within 10 s");
      return next;
    }

    /** Waits for a failure, lets its backoff elapse and returns the next request. */
    Request nextAfterFailure() throws InterruptedException {
      while (true) {
        Event.ConditionCounted failure = DiscoveryWatchTest.this.next(Event.ConditionCounted.class);
        if (failure.counter() == Counter.SOURCES_UNAVAILABLE) {
          clock.addAndGet(RETRY_US);
          return next();
        }
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
      for (Request request : requests) {
        request.socket().close();
      }
    }
  }

  @BeforeEach
  void start() throws Exception {
    discovery = new FakeDiscovery();
    watch =
        onLoop(
            () ->
                new DiscoveryWatch(
                    vertx,
                    () -> settings,
                    7,
                    0,
                    new EndpointListReader(List.of("a", "b"), events::add),
                    events::add,
                    clock::get));
    follow(discovery);
  }

  @AfterEach
  void tearDown() throws Exception {
    onLoop(
        () -> {
          watch.stop();
          return null;
        });
    for (FakeDiscovery server : servers) {
      server.close();
    }
    vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    CompletableFuture<T> done = new CompletableFuture<>();
    context.runOnContext(
        v -> {
          try {
            done.complete(task.call());
          } catch (Exception | Error e) {
            done.completeExceptionally(e);
          }
        });
    return done.get(10, TimeUnit.SECONDS);
  }

  private void follow(FakeDiscovery server) throws Exception {
    onLoop(
        () -> {
          watch.follow("127.0.0.1", server.socket.getLocalPort());
          return null;
        });
  }

  /** Returns the next event of this kind; others are skipped. */
  private <T extends Event> T next(Class<T> kind) throws InterruptedException {
    for (; ; ) {
      Event event = events.poll(10, TimeUnit.SECONDS);
      assertNotNull(event, "no event of kind " + kind.getSimpleName());
      if (kind.isInstance(event)) {
        return kind.cast(event);
      }
    }
  }

  private static String list(int generation, boolean reset, String... stores) {
    List<String> entries = new ArrayList<>();
    for (String store : stores) {
      entries.add(
          "{\"instanceId\":\""
              + store
              + "\",\"hostPort\":\"127.0.0.1:7\",\"zone\":\"a\",\"cell\":0,\"lifecycle\":\"ready\"}");
    }
    return "{\"generation\":"
        + generation
        + ",\"reset\":"
        + reset
        + ",\"instances\":["
        + String.join(",", entries)
        + "]}\n";
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length)
        + "\r\n"
        + text
        + "\r\n";
  }

  private static List<String> names(Event.EndpointsUpdated update) {
    return update.endpoints().stream().map(store -> store.name()).toList();
  }

  /** Advances the clock and returns the next request. */
  private Request requestAfter(long us) throws InterruptedException {
    clock.addAndGet(us);
    return discovery.next();
  }

  /**
   * Discovery accepts requests and does not answer. Further requests are sent on connections of
   * their own while the earlier ones are open; once one is answered, the others are closed.
   */
  @Test
  void hangingRequestsDoNotDelayOthers() throws Exception {
    List<Request> pendingRequests =
        new ArrayList<>(List.of(discovery.next(), requestAfter(8 * RETRY_US)));
    while (pendingRequests.size() < 8) {
      pendingRequests.add(requestAfter(RETRY_US));
    }
    Request last = pendingRequests.remove(7);
    last.write(OK + "Transfer-Encoding: chunked\r\n\r\n" + chunk(list(5, true, "s")));
    assertEquals(List.of("s"), names(next(Event.EndpointsUpdated.class)));
    for (Request request : pendingRequests) {
      request.awaitClosed();
    }
  }

  /** The connection of a request that is abandoned while connecting is closed once established. */
  @Test
  void abandonedRequestsDoNotLeaveConnectionsOpen() throws Exception {
    FakeDiscovery other = new FakeDiscovery();
    discovery.next();
    onLoop(
        () -> {
          watch.follow("127.0.0.1", other.socket.getLocalPort());
          watch.stop();
          return null;
        });
    Request closed = other.next();
    assertEquals("", closed.requestLine());
    closed.awaitClosed();
    assertTrue(events.isEmpty(), "an abandoned request is not counted as a failure: " + events);
  }

  /**
   * Discovery moves while requests to the old address hang: they are closed, and the complete list
   * is requested from the new address.
   */
  @Test
  void aMoveClosesHangingRequests() throws Exception {
    Request first = discovery.next();
    Request second = requestAfter(8 * RETRY_US);
    FakeDiscovery moved = new FakeDiscovery();
    follow(moved);
    assertEquals("GET /registry/instances HTTP/1.1", moved.next().requestLine());
    first.awaitClosed();
    second.awaitClosed();
  }

  /**
   * Complete lists are used even if the response then breaks off in the middle of another list, by
   * a reset or because the response ends. The partial list is ignored. The first list arrives byte
   * by byte.
   */
  @Test
  void completeListsOfTruncatedResponsesAreUsed() throws Exception {
    Request first = discovery.next();
    assertEquals("GET /registry/instances?follow=1&since=0 HTTP/1.1", first.requestLine());
    first.write(OK + "\r\n");
    byte[] indented =
        list(5, true, "süd")
            .replace(",", ",\n  ")
            .replace("[", "[\n")
            .getBytes(StandardCharsets.UTF_8);
    for (byte b : indented) {
      first.write(new byte[] {b});
    }
    assertEquals(List.of("süd"), names(next(Event.EndpointsUpdated.class)));
    first.write(list(6, false, "x") + list(7, false, "y").substring(0, 60));
    assertEquals(List.of("x"), names(next(Event.EndpointsUpdated.class)));
    first.reset();
    Request second = discovery.nextAfterFailure();
    assertEquals("GET /registry/instances?follow=1&since=6 HTTP/1.1", second.requestLine());
    second.write(
        OK
            + "Transfer-Encoding: chunked\r\n\r\n"
            + chunk(list(8, false, "z").substring(0, 50))
            + "0\r\n\r\n");
    Request third = discovery.nextAfterFailure();
    assertEquals("GET /registry/instances?follow=1&since=6 HTTP/1.1", third.requestLine());
    third.write(
        OK
            + "Transfer-Encoding: chunked\r\n\r\n"
            + chunk(list(9, false, "w"))
            + "50\r\n{\"generation\":10,");
    assertEquals(List.of("w"), names(next(Event.EndpointsUpdated.class)));
    third.reset();
    assertEquals(
        "GET /registry/instances?follow=1&since=9 HTTP/1.1",
        discovery.nextAfterFailure().requestLine());
  }

  /** A change older than the known generation is ignored, and a complete list is requested. */
  @Test
  void anOlderChangeIsIgnored() throws Exception {
    Request first = discovery.next();
    first.write(
        OK + "\r\n" + list(9, true, "s") + list(8, false, "old") + list(10, false, "later"));
    assertEquals(List.of("s"), names(next(Event.EndpointsUpdated.class)));
    Request second = discovery.nextAfterFailure();
    first.awaitClosed();
    assertEquals("GET /registry/instances HTTP/1.1", second.requestLine());
    second.write(OK + "\r\n" + list(3, true, "t"));
    assertEquals(List.of("t"), names(next(Event.EndpointsUpdated.class)));
    assertEquals(
        "GET /registry/instances?follow=1&since=3 HTTP/1.1", discovery.next().requestLine());
  }

  /** A malformed list is counted, its connection is closed, and the list is requested again. */
  @Test
  void malformedListsCloseTheConnection() throws Exception {
    String valid = list(5, true, "s");
    List<String> malformed =
        List.of(
            "{\"generation\":\"six\",\"reset\":true,\"instances\":[]}\n",
            "{\"generation\":6,\"reset\":true}\n",
            "{\"generation\":6,\"reset\":true,\"instances\":{}}\n",
            "{\"generation\":6,\"reset\":true,\"instances\":[}\n",
            "{\"generation\":6,\"generation\":1e99,\"reset\":true,\"instances\":[]}\n",
            "{\"a\":" + "[".repeat(200_000) + "]".repeat(200_000) + "}\n",
            "{\"a\":\"" + "x".repeat((4 << 20) + 1),
            "{\"cut\n",
            "no list\n".repeat(10_000));
    for (String text : malformed) {
      Request request = discovery.next();
      request.write(OK + "\r\n" + valid);
      assertEquals(List.of("s"), names(next(Event.EndpointsUpdated.class)));
      try {
        request.write(text);
      } catch (SocketException e) {
        // the watch has closed the connection
      }
      long counted = 0;
      for (Counter counter = next(Event.ConditionCounted.class).counter();
          counter != Counter.SOURCES_UNAVAILABLE;
          counter = next(Event.ConditionCounted.class).counter()) {
        assertEquals(Counter.ENDPOINT_ENTRIES_INVALID, counter);
        counted++;
      }
      assertTrue(counted >= 1 && counted < 100, counted + " for " + text.substring(0, 5));
      assertTrue(
          events.stream().noneMatch(Event.EndpointsUpdated.class::isInstance),
          text.substring(0, 5));
      request.awaitClosed();
      clock.addAndGet(RETRY_US);
    }
  }

  /** Invalid entries are skipped and counted; the other entries of the list are used. */
  @Test
  void onlyMalformedEntriesAreSkipped() throws Exception {
    String valid = "\"hostPort\":\"127.0.0.1:7\",\"zone\":\"a\",\"cell\":0,\"lifecycle\":\"ready\"";
    List<String> malformed =
        List.of(
            "null",
            "[]",
            "{}",
            "{\"instanceId\":7," + valid + "}",
            "{\"instanceId\":\"x\"," + valid + ",\"cell\":\"0\"}",
            "{\"instanceId\":\"x\"," + valid + ",\"hostPort\":\"h:99999\"}",
            "{\"instanceId\":\"x\"," + valid + ",\"startedAtMs\":9000000000000000000}",
            "{\"instanceId\":\"x\"," + valid + ",\"weight\":1e999}",
            "{\"instanceId\":\"x\"," + valid + ",\"lifecycle\":\"\"}");
    Request request = discovery.next();
    request.write(
        OK
            + "\r\n{\"generation\":5,\"reset\":true,\"instances\":["
            + String.join(",", malformed)
            + ",{\"instanceId\":\"s\","
            + valid
            + "}]}\n");
    for (int i = 0; i < malformed.size(); i++) {
      assertEquals(
          Counter.ENDPOINT_ENTRIES_INVALID,
          next(Event.ConditionCounted.class).counter(),
          malformed.get(i));
    }
    assertEquals(List.of("s"), names(next(Event.EndpointsUpdated.class)));
  }

  /**
   * Lists are read from every form of HTTP/1.1 response that arrives byte by byte: with
   * Content-Length, with chunks that have extensions and trailers, and after interim responses.
   */
  @Test
  void listsAreReadInAllResponseForms() throws Exception {
    String text =
        list(5, true, "süd")
            + "\n \r\n"
            + list(6, false, "x")
            + list(7, false, "y").replace("\n", "");
    byte[] all = text.getBytes(StandardCharsets.UTF_8);
    String chunked = "Transfer-Encoding: chunked\r\n\r\n";
    StringBuilder pieces = new StringBuilder();
    for (byte b : all) {
      pieces.append("1\r\n").append((char) (b & 0xff)).append("\r\n");
    }
    String body = new String(all, StandardCharsets.ISO_8859_1);
    String size = Integer.toHexString(all.length).toUpperCase(Locale.ROOT);
    for (String form :
        List.of(
            OK + "Content-Length: " + all.length + "\r\n\r\n" + body,
            OK + "connection: close\r\ncontent-length:" + all.length + "\r\n\r\n" + body,
            OK + chunked + size + "\r\n" + body + "\r\n0\r\n\r\n",
            OK
                + "transfer-ENCODING:\t Chunked \r\n\r\n000"
                + size
                + " ; a=\"b;c\";d\r\n"
                + body
                + "\r\n0;e\r\nX-Sum: 1\r\n\r\n",
            "HTTP/1.1 200\r\n" + chunked + pieces + "0\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                + OK
                + chunked
                + pieces)) {
      Request request = discovery.next();
      for (byte b : form.getBytes(StandardCharsets.ISO_8859_1)) {
        request.write(new byte[] {b});
      }
      for (String name : List.of("süd", "x", "y")) {
        assertEquals(List.of(name), names(next(Event.EndpointsUpdated.class)), form);
      }
      request.reset();
      assertEquals(Counter.SOURCES_UNAVAILABLE, next(Event.ConditionCounted.class).counter());
      clock.addAndGet(RETRY_US);
    }
  }
}
