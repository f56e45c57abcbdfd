package dunlinhitch.frontend.http;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.core.QueryResponse;
import dunlinhitch.flow.http.KeptHeaders;
import dunlinhitch.flow.http.PacedReader;
import dunlinhitch.frontend.Exchanges;
import dunlinhitch.frontend.Frontend;
import dunlinhitch.frontend.GracefulShutdown.Disposition;
import dunlinhitch.frontend.MalformedQueryException;
import dunlinhitch.frontend.QueryReader;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
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
 * The HTTP/1.1 frontend: each query is a POST request. It parses requests and writes responses; the
 * reducer decides on the response. Used on the event loop only.
 */
public final class HttpFrontend implements Frontend {
  private static final KeptHeaders KEPT_HEADERS = new KeptHeaders(QueryReader.HEADERS);
  private static final long TIMEOUT_CHECK_MS = 200;
  private static final long SHUTDOWN_CHECK_MS = 10;
  private static final int ACCEPT_BACKLOG = 1024;
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int METHOD_NOT_ALLOWED = 405;
  private static final int CONTENT_TOO_LARGE = 413;
  private static final int INTERNAL_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;

  /** A response is in memory as Vert.x's buffer and as the socket's. */
  private static final int RESPONSE_COPIES = 2;

  private static final String TEXT = "text/plain";
  private static final double US_PER_SECOND = 1e6;
  private static final String REFUSED = "refused; trying again is harmless\n";
  private final Vertx vertx;
  private final Exchanges exchanges;
  private final QueryReader reader;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final BooleanSupplier ready;
  private final Supplier<String> stats;
  private final HttpServer server;
  private final ClientConnections connections;

  /** The listener to accept from, or null if Vert.x creates the socket. */
  private final ClientListener listener;

  private final IntSupplier maxConnections;
  private final int maxDescriptors;
  private final Promise<Void> shutdownComplete = Promise.promise();
  private long timeoutTimer;
  private long shutdownTimer = -1;

  /**
   * Creates a frontend that does not listen yet.
   *
   * @param clock microseconds
   * @param maxConnections number of open connections at which idle ones are evicted
   * @param ready whether this broker is ready for queries
   * @param stats the text of the statistics page
   * @param listener the listener to accept from, or null if Vert.x creates the socket
   * @param maxDescriptors maximum number of connections that hold file descriptors, including those
   *     being closed
   */
  public HttpFrontend(
      Vertx vertx,
      Exchanges exchanges,
      QueryReader reader,
      Consumer<Event> events,
      LongSupplier clock,
      IntSupplier maxConnections,
      BooleanSupplier ready,
      Supplier<String> stats,
      ClientListener listener,
      int maxDescriptors) {
    this.vertx = vertx;
    this.exchanges = exchanges;
    this.reader = reader;
    this.events = events;
    this.clock = clock;
    this.ready = ready;
    this.stats = stats;
    this.listener = listener;
    this.maxConnections = maxConnections;
    this.maxDescriptors = maxDescriptors;
    connections =
        new ClientConnections(maxConnections, maxDescriptors, clock, events, new ShutdownHost());
    server = createServer();
  }

  private HttpServer createServer() {
    HttpServerOptions options =
        new HttpServerOptions()
            .setHttp2ClearTextEnabled(false)
            .setAcceptBacklog(ACCEPT_BACKLOG)
            .setHandle100ContinueAutomatically(true)
            .setPerFrameWebSocketCompressionSupported(false)
            .setPerMessageWebSocketCompressionSupported(false);
    return vertx
        .createHttpServer(options)
        .connectionHandler(connection -> onConnection(connection, options))
        .invalidRequestHandler(this::onInvalidRequest)
        .requestHandler(this::onHead);
  }

  private void onConnection(HttpConnection connection, HttpServerOptions options) {
    // without a handler Vert.x logs each reset as an error
    connection.exceptionHandler(
        error ->
            events.accept(
                new Event.ConditionCounted(
                    error instanceof IOException ? Counter.CLIENTS_RESET : Counter.FAULTS)));
    PacedReader reader =
        PacedReader.install(connection, options, KEPT_HEADERS, new ReaderListener(connection));
    connections.accepted(connection, reader);
  }

  private final class ReaderListener implements PacedReader.Listener {
    private final HttpConnection connection;

    ReaderListener(HttpConnection connection) {
      this.connection = connection;
    }

    @Override
    public void flooded() {
      events.accept(new Event.ConditionCounted(Counter.CLIENTS_FLOODED));
      connections.flooded(connection);
    }

    @Override
    public void disconnectedUndecoded() {
      events.accept(new Event.ConditionCounted(Counter.CLIENTS_DISCONNECTED));
    }
  }

  private void onInvalidRequest(HttpServerRequest request) {
    if (!connections.headReceived(request)) {
      return;
    }
    events.accept(new Event.ConditionCounted(Counter.BAD_REQUESTS));
    HttpServerRequest.DEFAULT_INVALID_REQUEST_HANDLER.handle(request);
  }

  @Override
  public Future<Integer> listen(String host, int port) {
    timeoutTimer = vertx.setPeriodic(TIMEOUT_CHECK_MS, timer -> closeTimedOut());
    return (listener == null
            ? server.listen(port, host)
            : listener.install(
                maxDescriptors, maxConnections.getAsInt(), () -> server.listen(port, host)))
        .map(HttpServer::actualPort);
  }

  /** Closes connections whose timeout has passed, and forgets those that are closed. */
  void closeTimedOut() {
    connections.closeTimedOut();
    if (listener != null) {
      listener.open(); // else the last closed sockets are kept until the next one is accepted
    }
  }

  /**
   * Begins a hot restart, in which another process accepts from the same socket: new connections
   * are left to that process, and each connection closes with its next response. Idle connections
   * stay open until {@link #drain}.
   */
  public void beginHotRestart() {
    connections.drain(false);
    listener.stopAccepting();
  }

  /**
   * Begins the shutdown: new connections are still accepted, but each closes with its next
   * response, and idle ones are closed now. A client that sends a request during that close can
   * connect again while the broker still listens.
   */
  public void drain() {
    connections.drain(true);
  }

  @Override
  public Future<Void> close(long dueUs) {
    shutdownTimer = vertx.setPeriodic(SHUTDOWN_CHECK_MS, timer -> connections.advanceShutdown());
    connections.refuse(dueUs);
    return shutdownComplete.future();
  }

  /** Executes the shutdown actions that concern the listener, the server or a response. */
  private final class ShutdownHost implements ClientConnections.Host {
    @Override
    public void refuse(HttpServerRequest request) {
      HttpFrontend.this.refuse(request);
    }

    @Override
    public void closeListener() {
      Context loop = vertx.getOrCreateContext();
      if (listener == null) {
        loop.runOnContext(ignored -> connections.listenerClosed());
      } else {
        listener.close(() -> loop.runOnContext(ignored -> connections.listenerClosed()));
      }
    }

    @Override
    public void closed() {
      vertx.cancelTimer(timeoutTimer);
      vertx.cancelTimer(shutdownTimer);
      server.close().onComplete(shutdownComplete);
    }
  }

  private void onHead(HttpServerRequest request) {
    if (!connections.headReceived(request)) {
      return;
    }
    String path = request.path() == null ? "" : request.path();
    switch (path) {
      case "/health/ready" ->
          respondToPage(request, ready.getAsBoolean() ? OK : UNAVAILABLE, "ready\n");
      case "/health/live" -> respondToPage(request, OK, "live\n");
      case "/stats" -> respondToPage(request, OK, stats.get());
      default -> onQueryHead(request, path);
    }
  }

  private void onQueryHead(HttpServerRequest request, String path) {
    QueryClass queryClass = queryClassOf(path);
    if (queryClass == null) {
      respondBadRequest(request, NOT_FOUND, "no such class");
    } else if (!request.method().equals(HttpMethod.POST)) {
      request.response().putHeader(HttpHeaders.ALLOW, "POST");
      respondBadRequest(request, METHOD_NOT_ALLOWED, "a query is a POST");
    } else {
      BodyReader.read(
          request,
          QueryReader.MAX_BODY_BYTES,
          bytes -> connections.addMemory(request, bytes),
          new QueryBodyHandler(request, queryClass));
    }
  }

  private final class QueryBodyHandler implements BodyReader.Handler {
    private final HttpServerRequest request;
    private final QueryClass queryClass;

    QueryBodyHandler(HttpServerRequest request, QueryClass queryClass) {
      this.request = request;
      this.queryClass = queryClass;
    }

    @Override
    public void onBody(Buffer body) {
      onQuery(request, queryClass, body);
    }

    @Override
    public void onTooLarge() {
      respondBadRequest(request, CONTENT_TOO_LARGE, "the body is over 64 KiB");
    }
  }

  /** Returns the class that is named by the first segment of the path, or null. */
  private QueryClass queryClassOf(String path) {
    if (path.isEmpty()) {
      return null;
    }
    int slash = path.indexOf('/', 1);
    return reader.classOf(path.substring(1, slash < 0 ? path.length() : slash));
  }

  private void respondToPage(HttpServerRequest request, int status, String text) {
    if (!request.method().equals(HttpMethod.GET) && !request.method().equals(HttpMethod.HEAD)) {
      request.response().putHeader(HttpHeaders.ALLOW, "GET, HEAD");
      respondBadRequest(request, METHOD_NOT_ALLOWED, "this page is only read");
      return;
    }
    connections.requestReceived(request);
    respond(request, status, TEXT, Buffer.buffer(status == OK ? text : "not " + text), false);
  }

  /**
   * Responds to an invalid request. Closes the connection if the body was not completely received,
   * because the rest of the body may be long.
   */
  private void respondBadRequest(HttpServerRequest request, int status, String reason) {
    events.accept(new Event.ConditionCounted(Counter.BAD_REQUESTS));
    respond(request, status, TEXT, Buffer.buffer(reason + "\n"), !request.isEnded());
  }

  private void onQuery(HttpServerRequest request, QueryClass queryClass, Buffer body) {
    long receivedUs = clock.getAsLong();
    Disposition disposition = connections.requestReceived(request);
    if (disposition != Disposition.FORWARD) {
      if (disposition == Disposition.REFUSE) {
        events.accept(new Event.ConditionCounted(Counter.QUERIES_NOT_ADMITTED));
        refuse(request);
      }
      return;
    }
    try {
      QueryRequest query =
          reader.read(
              queryClass,
              request::getHeader,
              request.headers().getAll(QueryReader.CUSTOMER),
              body.getBytes(),
              receivedUs);
      if (!connections.useMemory(request, bytesToStores(query))) {
        events.accept(new Event.ConditionCounted(Counter.QUERIES_WITHOUT_MEMORY));
        refuse(request);
        return;
      }
      long exchange = exchanges.open(query, response -> writeResponse(request, response));
      connections.onDisconnect(request, () -> exchanges.clientDisconnected(exchange));
    } catch (MalformedQueryException e) {
      respondBadRequest(request, BAD_REQUEST, e.getMessage());
    } catch (RuntimeException | Error fault) {
      respondToFault(request);
      throw fault; // Vert.x reports it
    }
  }

  /** Returns the size of the texts that are sent for a query, one copy for each part. */
  private static long bytesToStores(QueryRequest query) {
    return (long) query.parts().size() * query.text().length();
  }

  /**
   * Ends a request whose handler threw. Nothing else would end it: a complete request has no
   * timeout.
   */
  private void respondToFault(HttpServerRequest request) {
    respond(request, INTERNAL_ERROR, TEXT, Buffer.buffer("failed\n"), true);
  }

  private void writeResponse(HttpServerRequest request, QueryResponse response) {
    try {
      write(request, response);
    } catch (RuntimeException | Error fault) {
      respondToFault(request);
      throw fault; // the caller reports it
    }
  }

  private void write(HttpServerRequest request, QueryResponse response) {
    if (response instanceof QueryResponse.Served served) {
      writeServed(request, served);
    } else if (response instanceof QueryResponse.Rejected rejected) {
      writeRejected(request, rejected);
    } else if (response instanceof QueryResponse.DeadlineExceeded) {
      respond(request, GATEWAY_TIMEOUT, TEXT, Buffer.buffer("out of time\n"), false);
    } else {
      respond(request, INTERNAL_ERROR, TEXT, Buffer.buffer("failed\n"), false);
    }
  }

  private void writeServed(HttpServerRequest request, QueryResponse.Served served) {
    if (served.pruned() != null) {
      String shards = String.join(",", served.pruned().stream().map(String::valueOf).toList());
      request.response().putHeader(QueryReader.PRUNED, shards);
    }
    JsonArray parts = new JsonArray();
    served
        .parts()
        .forEach(
            part -> parts.add(Json.object().add("range", part.shard()).add("blob", part.value())));
    Buffer body =
        Buffer.buffer(
            Json.object().add("total", served.complete()).add("answers", parts).toString());
    connections.addMemory(request, (long) RESPONSE_COPIES * body.length());
    respond(request, OK, "application/json", body, false);
  }

  private void writeRejected(HttpServerRequest request, QueryResponse.Rejected rejected) {
    if (rejected.retryAfterUs() > 0) {
      String seconds = String.format(Locale.ROOT, "%.3f", rejected.retryAfterUs() / US_PER_SECOND);
      request.response().putHeader(HttpHeaders.RETRY_AFTER, seconds);
    }
    respond(request, UNAVAILABLE, TEXT, Buffer.buffer(REFUSED), false);
  }

  private void refuse(HttpServerRequest request) {
    respond(request, UNAVAILABLE, TEXT, Buffer.buffer(REFUSED), true);
  }

  /** Returns whether Vert.x keeps the connection open after the response. */
  private static boolean keepsAlive(HttpServerRequest request) {
    String connectionOptions =
        String.join(",", request.headers().getAll(HttpHeaders.CONNECTION)).toLowerCase(Locale.ROOT);
    return !connectionOptions.contains("close")
        && (request.version() != HttpVersion.HTTP_1_0 || connectionOptions.contains("keep-alive"));
  }

  private void respond(
      HttpServerRequest request, int status, String type, Buffer body, boolean last) {
    HttpServerResponse response = request.response();
    if (response.ended() || response.closed()) {
      return;
    }
    response.setStatusCode(status).putHeader(HttpHeaders.CONTENT_TYPE, type);
    if (last || !keepsAlive(request) || connections.isLastResponse(request.connection())) {
      response.putHeader(HttpHeaders.CONNECTION, "close");
      connections.closing(request.connection());
    }
    response.end(body).onComplete(done -> connections.responseWritten(request));
  }
}
