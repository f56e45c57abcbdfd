package dunlinhitch.frontend.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.QueryResponse;
import dunlinhitch.frontend.Exchanges;
import dunlinhitch.frontend.Frontend;
import dunlinhitch.frontend.GracefulShutdown.Fate;
import dunlinhitch.frontend.MalformedQueryException;
import dunlinhitch.frontend.QueryReader;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.HttpVersion;
import java.io.IOException;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The platform's front: HTTP/1.1, a query a POST. It reads and words; what is answered is decided
 * elsewhere.
 */
public final class HttpFrontend implements Frontend {
  private static final long LOOK_AFTER_MS = 200;
  private static final long END_LOOK_MS = 10;
  private static final String REFUSED = "refused; trying again is harmless\n";
  private final Vertx vertx;
  private final Exchanges exchanges;
  private final QueryReader reader;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final BooleanSupplier ready;
  private final Supplier<String> stats;
  private final HttpServer server;
  private final ClientConnections links;

  /** Where it accepts, and how many at once; null: as any server. */
  private final ClientListener listener;

  private final int mostOpen;
  private long lookAfter;
  private final Promise<Void> over = Promise.promise();
  private long endTimer = -1;

  /** {@code mostLinks}: connections that clients may hold at once. */
  public HttpFrontend(
      Vertx vertx,
      Exchanges exchanges,
      QueryReader reader,
      Consumer<Event> events,
      LongSupplier clock,
      IntSupplier mostLinks,
      BooleanSupplier ready,
      Supplier<String> stats,
      ClientListener listener,
      int mostOpen) {
    this.vertx = vertx;
    this.exchanges = exchanges;
    this.reader = reader;
    this.events = events;
    this.clock = clock;
    this.ready = ready;
    this.stats = stats;
    this.listener = listener;
    this.mostOpen = mostOpen;
    links = new ClientConnections(mostLinks, mostOpen, clock, events, new End());
    HttpServerOptions options =
        new HttpServerOptions()
            .setHttp2ClearTextEnabled(false)
            .setAcceptBacklog(1024)
            .setHandle100ContinueAutomatically(true)
            .setPerFrameWebSocketCompressionSupported(false)
            .setPerMessageWebSocketCompressionSupported(false);
    server = vertx.createHttpServer(options);
    server.connectionHandler(
        c -> {
          StrictDecoder decoder = StrictDecoder.install(c, options);
          // without a handler Vert.x writes each reset to the log as an error
          c.exceptionHandler(
              e ->
                  events.accept(
                      new Event.ConditionCounted(
                          e instanceof IOException ? Counter.CLIENTS_RESET : Counter.FAULTS)));
          ReadAhead ahead = ReadAhead.install(c, () -> links.flooded(c));
          links.made(c, () -> ahead.holdsAny() || decoder.holdsAny());
        });
    server.invalidRequestHandler(
        request -> {
          if (!links.asked(request)) {
            return;
          }
          events.accept(new Event.ConditionCounted(Counter.BAD_REQUESTS));
          HttpServerRequest.DEFAULT_INVALID_REQUEST_HANDLER.handle(request);
        });
    server.requestHandler(this::request);
  }

  @Override
  public Future<Integer> listen(String host, int port) {
    lookAfter = vertx.setPeriodic(LOOK_AFTER_MS, t -> look());
    return (listener == null
            ? server.listen(port, host)
            : listener.lend(mostOpen, () -> server.listen(port, host)))
        .map(HttpServer::actualPort);
  }

  /** What is overdue ends. */
  void look() {
    links.closeOverdue();
  }

  /**
   * The process is to end and another one accepts from the same socket: what is new is left to that
   * one from now on, and each connection ends by its next answer. Those that stand idle may still
   * be asked on; {@link #drain} ends them.
   */
  public void leaveToSibling() {
    links.leave(false);
    listener.stopAccepting();
  }

  /**
   * The process is to end: new connections are still taken, but each lasts for one answer, and
   * those that stand idle are closed now. A client whose request crosses that comes again while the
   * broker still listens; were they closed only with the listener, it could not.
   */
  public void drain() {
    links.leave(true);
  }

  @Override
  public Future<Void> close(long dueUs) {
    endTimer = vertx.setPeriodic(END_LOOK_MS, t -> links.passed());
    links.refuse(dueUs);
    return over.future();
  }

  /** What of the end is not the connections' own. */
  private final class End implements ClientConnections.Host {
    @Override
    public void refuse(HttpServerRequest request) {
      HttpFrontend.this.refuse(request);
    }

    @Override
    public void closeListener() {
      Context loop = vertx.getOrCreateContext();
      if (listener == null) {
        loop.runOnContext(v -> links.listenerClosed());
      } else {
        listener.close(() -> loop.runOnContext(v -> links.listenerClosed()));
      }
    }

    @Override
    public void closed() {
      vertx.cancelTimer(lookAfter);
      vertx.cancelTimer(endTimer);
      server.close().onComplete(over);
    }
  }

  private void request(HttpServerRequest request) {
    if (!links.asked(request)) {
      return;
    }
    String path = request.path() == null ? "" : request.path();
    switch (path) {
      case "/health/ready" -> page(request, ready.getAsBoolean() ? 200 : 503, "ready\n");
      case "/health/live" -> page(request, 200, "live\n");
      case "/stats" -> page(request, 200, stats.get());
      default -> {
        int slash = path.indexOf('/', 1);
        QueryClass kind =
            path.isEmpty()
                ? null
                : reader.classOf(path.substring(1, slash < 0 ? path.length() : slash));
        if (kind == null) {
          bad(request, 404, "no such class");
        } else if (request.method() != HttpMethod.POST) {
          request.response().putHeader(HttpHeaders.ALLOW, "POST");
          bad(request, 405, "a query is a POST");
        } else {
          readBody(request, kind);
        }
      }
    }
  }

  private void page(HttpServerRequest request, int status, String text) {
    if (request.method() != HttpMethod.GET && request.method() != HttpMethod.HEAD) {
      request.response().putHeader(HttpHeaders.ALLOW, "GET, HEAD");
      bad(request, 405, "this page is only read");
      return;
    }
    links.taken(request);
    end(request, status, "text/plain", Buffer.buffer(status == 200 ? text : "not " + text), false);
  }

  /**
   * Where the body is still to come the connection ends too: it may be long, and nobody wants it.
   */
  private void bad(HttpServerRequest request, int status, String why) {
    events.accept(new Event.ConditionCounted(Counter.BAD_REQUESTS));
    end(request, status, "text/plain", Buffer.buffer(why + "\n"), !request.isEnded());
  }

  /** Takes a body of 64 KiB at most, whether it states its length or not; more is never kept. */
  private void readBody(HttpServerRequest request, QueryClass kind) {
    Buffer body = Buffer.buffer();
    boolean[] over = {false};
    Runnable tooLarge =
        () -> {
          over[0] = true;
          bad(request, 413, "the body is over 64 KiB");
        };
    String stated = request.getHeader(HttpHeaders.CONTENT_LENGTH);
    if (stated != null
        && (!stated.matches("[0-9]{1,6}") || Integer.parseInt(stated) > QueryReader.MOST_BYTES)) {
      tooLarge.run();
      return;
    }
    request.handler(
        chunk -> {
          if (!over[0] && body.length() + chunk.length() > QueryReader.MOST_BYTES) {
            tooLarge.run();
          } else if (!over[0]) {
            body.appendBuffer(chunk);
          }
        });
    request.exceptionHandler(
        e -> over[0] = true); // the client left within its request: nothing was taken
    request.endHandler(
        v -> {
          if (!over[0]) {
            taken(request, kind, body);
          }
        });
  }

  private void taken(HttpServerRequest request, QueryClass kind, Buffer body) {
    long takenUs = clock.getAsLong();
    Fate fate = links.taken(request);
    if (fate != Fate.SEND_ON) {
      if (fate == Fate.REFUSE) {
        events.accept(new Event.ConditionCounted(Counter.TURNED_AWAY));
        refuse(request);
      }
      return;
    }
    try {
      long exchange =
          exchanges.open(
              reader.read(
                  kind,
                  request::getHeader,
                  request.headers().getAll(QueryReader.CUSTOMER),
                  body.toString(),
                  takenUs),
              answer -> write(request, answer));
      links.onLeft(request, () -> exchanges.left(exchange));
    } catch (MalformedQueryException e) {
      bad(request, 400, e.getMessage());
    }
  }

  private void write(HttpServerRequest request, QueryResponse answer) {
    if (answer instanceof QueryResponse.Served served) {
      if (served.pruned() != null) {
        request
            .response()
            .putHeader(
                QueryReader.PRUNED,
                String.join(",", served.pruned().stream().map(String::valueOf).toList()));
      }
      JsonArray parts = new JsonArray();
      served
          .parts()
          .forEach(p -> parts.add(Json.object().add("range", p.shard()).add("blob", p.value())));
      end(
          request,
          200,
          "application/json",
          Buffer.buffer(
              Json.object().add("total", served.whole()).add("answers", parts).toString()),
          false);
    } else if (answer instanceof QueryResponse.Rejected refused) {
      if (refused.retryAfterUs() > 0) {
        request
            .response()
            .putHeader(
                HttpHeaders.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", refused.retryAfterUs() / 1e6));
      }
      end(request, 503, "text/plain", Buffer.buffer(REFUSED), false);
    } else {
      boolean late = answer instanceof QueryResponse.DeadlineExceeded;
      end(
          request,
          late ? 504 : 500,
          "text/plain",
          Buffer.buffer(late ? "out of time\n" : "failed\n"),
          false);
    }
  }

  private void refuse(HttpServerRequest request) {
    end(request, 503, "text/plain", Buffer.buffer(REFUSED), true);
  }

  /** As Vert.x decides whether it closes the connection behind the answer. */
  private static boolean keepsAlive(HttpServerRequest request) {
    String said =
        String.join(",", request.headers().getAll(HttpHeaders.CONNECTION)).toLowerCase(Locale.ROOT);
    return !said.contains("close")
        && (request.version() != HttpVersion.HTTP_1_0 || said.contains("keep-alive"));
  }

  private void end(HttpServerRequest request, int status, String type, Buffer body, boolean last) {
    HttpServerResponse response = request.response();
    if (response.ended() || response.closed()) {
      return;
    }
    response.setStatusCode(status).putHeader(HttpHeaders.CONTENT_TYPE, type);
    if (last || !keepsAlive(request) || links.isLast(request.connection())) {
      response.putHeader(HttpHeaders.CONNECTION, "close");
      links.closing(request.connection());
    }
    response.end(body).onComplete(done -> links.answered(request));
  }
}
