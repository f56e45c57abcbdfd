package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.admin.AdminServer;
import dunlinhitch.admin.DisabledEndpointFolder;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.Client;
import dunlinhitch.experiments.fakes.FlightStore;
import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.fakes.Store;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests of operators to the admin server, over loopback. */
class AdminTest {
  /** Longer than an unanswered connection stays open. */
  private static final int ANSWER_TIMEOUT_MS = 8_000;

  private final BrokerFixture fixture;
  @TempDir private Path dir;

  AdminTest() throws Exception {
    fixture = new BrokerFixture();
  }

  @AfterEach
  void close() throws Exception {
    fixture.close();
  }

  /** Sends one request on a separate connection and returns the complete response. */
  private String call(String line) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.adminPort)) {
      socket.setSoTimeout(ANSWER_TIMEOUT_MS);
      socket
          .getOutputStream()
          .write((line + " HTTP/1.1\r\nHost: ops\r\n\r\n").getBytes(StandardCharsets.UTF_8));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static int status(String answer) {
    return Integer.parseInt(answer.substring(9, 12));
  }

  private long metric(String name) throws IOException {
    return call("GET /metrics")
        .lines()
        .filter(line -> line.startsWith("router_" + name + " "))
        .mapToLong(line -> Long.parseLong(line.substring(line.lastIndexOf(' ') + 1)))
        .findFirst()
        .orElseThrow();
  }

  /** Requests over both client protocols are counted in the same metrics. */
  @Test
  void countsRequestsOfBothProtocolsInTheSameMetrics() throws Exception {
    FrameStore frames = new FrameStore(fixture.vertx, "f");
    FlightStore flight = new FlightStore("g");
    fixture.publishStores(frames, flight);
    fixture.start(BrokerFixture.settings(100), null);
    Client http = Client.http(fixture.httpPort);
    Client arrow = Client.flight(fixture.broker.flightPort());
    for (int i = 0; i < 4; i++) {
      assertEquals(
          "whole",
          (i % 2 == 0 ? http : arrow)
              .send(
                  "free-search",
                  Map.of("X-Trace-Id", "q" + i, "X-Expires-In", "1.0"),
                  Client.body(0, 1))
              .get(5, TimeUnit.SECONDS)
              .outcome());
    }
    assertEquals(
        "refused",
        http.send(
                "slot-booking",
                Map.of("X-Trace-Id", "late", "Idempotency-Key", "k", "X-Expires-In", "0"),
                Client.body(0))
            .get(5, TimeUnit.SECONDS)
            .outcome());
    String free = "{category=\"free-search\"}";
    assertEquals(4, metric("passed" + free));
    assertEquals(0, metric("dropped" + free));
    assertEquals(1, metric("dropped{category=\"slot-booking\"}"));
    assertEquals(0, metric("bad_gateway" + free));
    assertEquals(8, metric("upstream_tries"));
    assertEquals(0, metric("in_progress"));
    assertEquals(2, metric("known_calendar_stores"));
    assertEquals(0, metric("skipped_calendar_stores"));
    arrow.close();
    flight.close();
  }

  private void disable(String id, boolean disabled, int status) throws IOException {
    assertEquals(
        status,
        status(call("POST /calendar-stores/" + (disabled ? "disable" : "enable") + "?host=" + id)));
  }

  private long disabledEndpointCount() throws IOException {
    try (Stream<Path> files = Files.list(dir.resolve("stores-out"))) {
      return files.count();
    }
  }

  /** Guards against a call that is never answered because its escapes cannot be decoded. */
  @Test
  void malformedEscapesAreRejected() throws Exception {
    fixture.discovery.setList();
    fixture.start(BrokerFixture.settings(100), null);
    for (String id : List.of("%zz", "%", "%f")) {
      disable(id, true, 400);
    }
    disable("%ff", true, 404);
  }

  /** Guards against a call that is never answered because its handler throws. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void callWhoseHandlerThrowsFails(boolean error) throws Exception {
    List<Throwable> faults = new CopyOnWriteArrayList<>();
    fixture.vertx.exceptionHandler(faults::add);
    AdminServer server =
        new AdminServer(
            fixture.vertx,
            () -> {
              if (error) {
                throw new AssertionError("test");
              }
              throw new IllegalStateException("test");
            },
            () -> null,
            event -> {},
            () -> 0);
    CompletableFuture<Integer> port = new CompletableFuture<>();
    fixture.vertx.runOnContext(ignored -> server.listen("127.0.0.1", 0).onSuccess(port::complete));
    fixture.adminPort = port.get(5, TimeUnit.SECONDS);
    assertEquals(500, status(call("GET /ready")));
    assertEquals(1, faults.size());
  }

  /**
   * For both backend protocols: an endpoint is disabled as soon as the request is answered, even if
   * a new endpoint list contains it; disabling is idempotent; the endpoint is used again soon after
   * it was enabled.
   */
  @Test
  void disabledEndpointReceivesNothingUntilEnabled() throws Exception {
    fixture.scratchDirectory = dir;
    FrameStore frames = new FrameStore(fixture.vertx, "s/1 é");
    FlightStore flight = new FlightStore("g");
    fixture.publishStores(frames, flight);
    fixture.start(BrokerFixture.settings(100), null);
    Client http = Client.http(fixture.httpPort);
    for (Store disabled : List.of(frames, flight)) {
      String id = URLEncoder.encode(disabled.name, StandardCharsets.UTF_8);
      disable(id, true, 200);
      disable(id, true, 200);
      assertEquals(1, disabledEndpointCount());
      assertEquals(1, metric("skipped_calendar_stores"));
      fixture.publishStores(frames, flight);
      disabled.receivedParts.clear();
      disabled.healthChecks.clear();
      for (int i = 0; i < 10; i++) {
        assertEquals(
            "whole",
            http.send(
                    "free-search",
                    Map.of("X-Trace-Id", disabled.name.charAt(0) + "q" + i, "X-Expires-In", "1.0"),
                    Client.body(0, 1))
                .get(5, TimeUnit.SECONDS)
                .outcome());
      }
      assertEquals(0, disabled.receivedParts.size() + disabled.healthChecks.size());
      disable(id, false, 200);
      disable(id, false, 200);
      assertEquals(0, disabledEndpointCount());
      long endMs = System.currentTimeMillis() + 5_000;
      for (int i = 0; disabled.receivedParts.isEmpty() && System.currentTimeMillis() < endMs; i++) {
        http.send(
                "free-search",
                Map.of("X-Trace-Id", disabled.name.charAt(0) + "b" + i, "X-Expires-In", "1.0"),
                Client.body(0, 1))
            .get(5, TimeUnit.SECONDS);
      }
      assertTrue(disabled.receivedParts.size() > 0, disabled.name + " is not used again");
    }
    disable("nobody", true, 404);
    disable("nobody", false, 404);
    assertEquals(400, status(call("POST /calendar-stores/disable")));
    assertEquals(405, status(call("GET /calendar-stores/disable?host=g")));
    flight.close();
  }

  /**
   * Processes share the folder: a change at one process also applies at the others, including
   * processes that start later.
   */
  @Test
  void otherProcessesFollowDisabledEndpoints() throws Exception {
    List<String> notifications = new CopyOnWriteArrayList<>();
    DisabledEndpointFolder first =
        new DisabledEndpointFolder(
            fixture.vertx, dir, (disabled, back) -> notifications.add("one " + disabled + back));
    DisabledEndpointFolder second =
        new DisabledEndpointFolder(
            fixture.vertx, dir, (disabled, back) -> notifications.add("two " + disabled + back));
    first.start(true).toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    second.start(true).toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    for (String id : List.of("a", "../b c")) {
      first.persist(id, true).toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
      awaitNotification(notifications, "two [" + id + "][]");
    }
    DisabledEndpointFolder restarted =
        new DisabledEndpointFolder(
            fixture.vertx, dir, (disabled, back) -> notifications.add("later " + disabled.size()));
    restarted.start(false).toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    awaitNotification(notifications, "later 2");
    second.persist("a", false).toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
    awaitNotification(notifications, "one [][a]");
    assertEquals(
        4,
        notifications.size(),
        "a process must not be notified of its own changes: " + notifications);
  }

  /**
   * A folder that cannot be written must not keep the broker from serving; the operator's request
   * fails, because the change would be lost at a restart.
   */
  @Test
  void reportsAnErrorWhenDisablingCannotBePersisted() throws Exception {
    fixture.scratchDirectory = Files.createFile(dir.resolve("no-folder"));
    FrameStore store = new FrameStore(fixture.vertx, "s");
    fixture.publishStores(store);
    fixture.start(BrokerFixture.settings(100), null);
    assertEquals(
        "whole",
        Client.http(fixture.httpPort)
            .send("free-search", Map.of("X-Trace-Id", "q", "X-Expires-In", "1.0"), Client.body(0))
            .get(5, TimeUnit.SECONDS)
            .outcome());
    disable("s", true, 500);
  }

  private static void awaitNotification(List<String> notifications, String expected) {
    long endMs = System.currentTimeMillis() + 5_000;
    while (!notifications.contains(expected) && System.currentTimeMillis() < endMs) {
      Thread.onSpinWait();
    }
    assertTrue(notifications.contains(expected), () -> expected + " is not in " + notifications);
  }

  @Test
  void rejectsInvalidAdminRequests() throws Exception {
    fixture.start(BrokerFixture.settings(100), null);
    assertEquals(404, status(call("GET /nothing")));
    assertEquals(405, status(call("POST /ready")));
    assertEquals(405, status(call("DELETE /metrics")));
    // a valid request, whether or not the broker is ready yet
    String answer = call("GET /ready");
    assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
  }

  /**
   * More connections than allowed are opened and send nothing or half a request; the next complete
   * request is still answered.
   */
  @Test
  void idleAndIncompleteCallersDoNotBlockOthers() throws Exception {
    fixture.start(BrokerFixture.settings(100), null);
    List<Socket> idleCallers = new ArrayList<>();
    for (int i = 0; i < 80; i++) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.adminPort);
      idleCallers.add(socket);
      if (i % 2 == 0) {
        socket
            .getOutputStream()
            .write("POST /calendar-stores/dis".getBytes(StandardCharsets.UTF_8));
      }
    }
    assertEquals(200, status(call("GET /metrics")));
    for (Socket socket : idleCallers) {
      socket.close();
    }
  }
}
