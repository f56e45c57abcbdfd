package dunlinhitch.admin;

import dunlinhitch.core.BrokerStatus;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
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
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Where operators call: HTTP/1.1 at an address of its own, one call a connection, 2xx yes, 4xx and
 * 5xx no.
 */
public final class AdminServer {
  /** Callers that say nothing, or half a call, must not keep others out nor use up descriptors. */
  private static final int MOST_CALLERS = 32;

  private static final long LONGEST_US = 5_000_000;
  private static final long LOOK_AFTER_MS = 500;

  private final Vertx vertx;
  private final BooleanSupplier ready;
  private final Supplier<BrokerStatus> figures;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final HttpServer server;

  /** Calls that wait for their word. */
  private final Map<Long, HttpServerRequest> open = new HashMap<>();

  private long lastCall;

  /** Who is connected since when, the oldest first. */
  private final Map<HttpConnection, Long> callers = new LinkedHashMap<>();

  public AdminServer(
      Vertx vertx,
      BooleanSupplier ready,
      Supplier<BrokerStatus> figures,
      Consumer<Event> events,
      LongSupplier clock) {
    this.vertx = vertx;
    this.ready = ready;
    this.figures = figures;
    this.events = events;
    this.clock = clock;
    server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false));
    server.connectionHandler(this::made);
    server.requestHandler(request -> request.end().onSuccess(v -> answer(request)));
  }

  /** Listens on this address only; the result is the port. */
  public Future<Integer> listen(String host, int port) {
    vertx.setPeriodic(LOOK_AFTER_MS, t -> closeOverdue());
    return server.listen(port, host).map(HttpServer::actualPort);
  }

  public Future<Void> close() {
    return server.close();
  }

  private void made(HttpConnection connection) {
    if (callers.size() >= MOST_CALLERS) {
      closeOldest();
    }
    callers.put(connection, clock.getAsLong());
    connection.exceptionHandler(e -> {}); // the close that follows says all there is to say
    connection.closeHandler(v -> callers.remove(connection));
  }

  private void closeOldest() {
    Iterator<HttpConnection> all = callers.keySet().iterator();
    HttpConnection oldest = all.next();
    all.remove();
    oldest.close();
  }

  private void closeOverdue() {
    while (!callers.isEmpty()
        && callers.values().iterator().next() + LONGEST_US <= clock.getAsLong()) {
      closeOldest();
    }
  }

  private void answer(HttpServerRequest request) {
    switch (request.path() == null ? "" : request.path()) {
      case "/ready" -> {
        if (allowed(request, HttpMethod.GET)) {
          boolean yes = ready.getAsBoolean();
          end(request, yes ? 200 : 503, "text/plain", yes ? "ready\n" : "not ready\n");
        }
      }
      case "/metrics" -> {
        if (allowed(request, HttpMethod.GET)) {
          end(request, 200, MetricsText.TYPE, MetricsText.of(figures.get()));
        }
      }
      case "/calendar-stores/disable" -> bar(request, true);
      case "/calendar-stores/enable" -> bar(request, false);
      default -> bad(request, 404, "no such page");
    }
  }

  private void bar(HttpServerRequest request, boolean out) {
    if (!allowed(request, HttpMethod.POST)) {
      return;
    }
    String id = request.getParam("host");
    if (id == null || id.isEmpty()) {
      bad(request, 400, "host is missing");
      return;
    }
    open.put(++lastCall, request);
    events.accept(new Event.EndpointDisableRequested(lastCall, id, out));
  }

  /** Says to the call of that number how it ended. */
  public void reply(long call, int status, String text) {
    HttpServerRequest request = open.remove(call);
    if (request != null && status < 400) {
      end(request, status, "text/plain", text + "\n");
    } else if (request != null) {
      bad(request, status, text);
    }
  }

  private boolean allowed(HttpServerRequest request, HttpMethod method) {
    if (request.method() == method) {
      return true;
    }
    request.response().putHeader(HttpHeaders.ALLOW, method.name());
    bad(request, 405, "this wants a " + method.name());
    return false;
  }

  private void bad(HttpServerRequest request, int status, String why) {
    events.accept(new Event.ConditionCounted(Counter.BAD_ADMIN_CALLS));
    end(request, status, "text/plain", why + "\n");
  }

  private void end(HttpServerRequest request, int status, String type, String text) {
    if (request.response().closed()) {
      return;
    }
    HttpConnection connection = request.connection();
    request
        .response()
        .setStatusCode(status)
        .putHeader(HttpHeaders.CONTENT_TYPE, type)
        .putHeader(HttpHeaders.CONNECTION, "close")
        .end(text)
        .onComplete(done -> connection.close());
  }
}
