package dunlinhitch.admin;

import dunlinhitch.core.BrokerStatus;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.flow.http.KeptHeaders;
import dunlinhitch.flow.http.PacedReader;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * HTTP/1.1 server of the operators' address. Each connection serves one request and is closed after
 * its response; 2xx means success, 4xx and 5xx failure.
 *
 * <p>Runs on the event-loop thread that {@link #listen} is called on; {@link #reply} must be called
 * on that thread, too. Connections are bounded in number and in duration, so that idle or slow
 * clients neither lock out others nor exhaust file descriptors.
 */
public final class AdminServer {
  /** Number of connections above which the oldest one is closed. */
  private static final int MAX_CONNECTIONS = 32;

  /** Age at which a connection is closed, in microseconds. */
  private static final long MAX_CONNECTION_AGE_US = 5_000_000;

  /** Interval between two checks for connections that are too old, in milliseconds. */
  private static final long AGE_CHECK_INTERVAL_MS = 500;

  private static final KeptHeaders KEPT_HEADERS = new KeptHeaders(Set.of());
  private static final String TEXT = "text/plain";

  private final Vertx vertx;
  private final BooleanSupplier ready;
  private final Supplier<BrokerStatus> status;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final HttpServer server;

  /** Requests that wait for {@link #reply}, by call number. */
  private final Map<Long, HttpServerRequest> pendingCalls = new HashMap<>();

  private long lastCallNumber;

  /** Open connections with the time of their acceptance in microseconds, the oldest first. */
  private final Map<HttpConnection, Long> acceptedUs = new LinkedHashMap<>();

  /**
   * Creates a server that does not listen yet.
   *
   * @param vertx runs the server
   * @param ready whether the broker is ready to serve clients
   * @param status the broker's current status, for metrics
   * @param events receives operators' requests and counted conditions
   * @param clock monotonic time in microseconds
   */
  public AdminServer(
      Vertx vertx,
      BooleanSupplier ready,
      Supplier<BrokerStatus> status,
      Consumer<Event> events,
      LongSupplier clock) {
    this.vertx = vertx;
    this.ready = ready;
    this.status = status;
    this.events = events;
    this.clock = clock;
    HttpServerOptions options = new HttpServerOptions().setHttp2ClearTextEnabled(false);
    server = vertx.createHttpServer(options);
    server.connectionHandler(connection -> onConnection(connection, options));
    server.requestHandler(request -> request.end().onSuccess(body -> route(request)));
  }

  /** Listens on this address only; the result is the port, which matters if {@code port} is 0. */
  public Future<Integer> listen(String host, int port) {
    vertx.setPeriodic(AGE_CHECK_INTERVAL_MS, timer -> closeAgedConnections());
    return server.listen(port, host).map(HttpServer::actualPort);
  }

  /** Stops listening and closes all connections. */
  public Future<Void> close() {
    return server.close();
  }

  /**
   * Completes a pending operator call; ignored if the call is no longer pending.
   *
   * @param call number of the call, as in its event
   * @param httpStatus HTTP status of the response
   * @param text one line for the operator
   */
  public void reply(long call, int httpStatus, String text) {
    HttpServerRequest request = pendingCalls.remove(call);
    if (request == null) {
      return;
    }
    if (httpStatus < 400) {
      respond(request, httpStatus, TEXT, text + "\n");
    } else {
      respondError(request, httpStatus, text);
    }
  }

  private void onConnection(HttpConnection connection, HttpServerOptions options) {
    PacedReader.install(connection, options, KEPT_HEADERS, PacedReader.Listener.NONE);
    if (acceptedUs.size() >= MAX_CONNECTIONS) {
      closeOldestConnection();
    }
    acceptedUs.put(connection, clock.getAsLong());
    // the close handler runs after any exception
    connection.exceptionHandler(ignored -> {});
    connection.closeHandler(closed -> acceptedUs.remove(connection));
  }

  private void closeOldestConnection() {
    Iterator<HttpConnection> oldestFirst = acceptedUs.keySet().iterator();
    HttpConnection oldest = oldestFirst.next();
    oldestFirst.remove();
    oldest.close();
  }

  private void closeAgedConnections() {
    while (!acceptedUs.isEmpty()
        && acceptedUs.values().iterator().next() + MAX_CONNECTION_AGE_US <= clock.getAsLong()) {
      closeOldestConnection();
    }
  }

  private void route(HttpServerRequest request) {
    try {
      dispatch(request);
    } catch (RuntimeException | Error fault) {
      respondError(request, 500, "the call failed");
      throw fault; // Vert.x reports it
    }
  }

  private void dispatch(HttpServerRequest request) {
    switch (request.path() == null ? "" : request.path()) {
      case "/ready" -> onReadiness(request);
      case "/metrics" -> onMetrics(request);
      case "/calendar-stores/disable" -> onDisableRequest(request, true);
      case "/calendar-stores/enable" -> onDisableRequest(request, false);
      default -> respondError(request, 404, "no such page");
    }
  }

  private void onReadiness(HttpServerRequest request) {
    if (!requireMethod(request, HttpMethod.GET)) {
      return;
    }
    if (ready.getAsBoolean()) {
      respond(request, 200, TEXT, "ready\n");
    } else {
      respond(request, 503, TEXT, "not ready\n");
    }
  }

  private void onMetrics(HttpServerRequest request) {
    if (requireMethod(request, HttpMethod.GET)) {
      respond(request, 200, MetricsText.CONTENT_TYPE, MetricsText.of(status.get()));
    }
  }

  private void onDisableRequest(HttpServerRequest request, boolean disable) {
    if (!requireMethod(request, HttpMethod.POST)) {
      return;
    }
    String endpointId = endpointId(request);
    if (endpointId == null) {
      respondError(request, 400, "host is not escaped as in a URL");
      return;
    }
    if (endpointId.isEmpty()) {
      respondError(request, 400, "host is missing");
      return;
    }
    lastCallNumber++;
    pendingCalls.put(lastCallNumber, request);
    events.accept(new Event.EndpointDisableRequested(lastCallNumber, endpointId, disable));
  }

  /** Returns the id of the endpoint; empty if it is missing, null if its escapes are malformed. */
  private static String endpointId(HttpServerRequest request) {
    try {
      return Objects.requireNonNullElse(request.getParam("host"), "");
    } catch (IllegalArgumentException e) {
      return null;
    }
  }

  /** Returns whether the request has this method, and responds with an error if not. */
  private boolean requireMethod(HttpServerRequest request, HttpMethod method) {
    if (method.equals(request.method())) {
      return true;
    }
    request.response().putHeader(HttpHeaders.ALLOW, method.name());
    respondError(request, 405, "this wants a " + method.name());
    return false;
  }

  private void respondError(HttpServerRequest request, int httpStatus, String message) {
    events.accept(new Event.ConditionCounted(Counter.BAD_ADMIN_CALLS));
    respond(request, httpStatus, TEXT, message + "\n");
  }

  private static void respond(
      HttpServerRequest request, int httpStatus, String contentType, String body) {
    if (request.response().closed()) {
      return;
    }
    HttpConnection connection = request.connection();
    request
        .response()
        .setStatusCode(httpStatus)
        .putHeader(HttpHeaders.CONTENT_TYPE, contentType)
        .putHeader(HttpHeaders.CONNECTION, "close")
        .end(body)
        .onComplete(done -> connection.close());
  }
}
