package dunlinhitch.discovery;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.RequestOptions;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Watches the endpoint list of the discovery service over HTTP. While the service is unavailable,
 * the last list remains in use. A reopened watch first requests all changes since the generation of
 * that list. If discovery moves to another address, the old address is read until the new one has
 * sent a list. {@link WatchStateMachine} makes the decisions; this class performs the I/O.
 *
 * <p>Confined to the event loop on which it was created.
 */
public final class DiscoveryWatch implements DiscoverySource {
  private static final int MAX_LIST_BYTES = 4 << 20;
  private static final int CONNECT_TIMEOUT_MS = 1000;
  private static final int STATUS_OK = 200;
  private static final String LIST_URI = "/registry/instances";
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final HttpClientAgent client;
  private final EndpointListReader reader;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final WatchStateMachine stateMachine;

  /** Requests in flight by id. */
  private final Map<Long, ListRequest> requests = new HashMap<>();

  private long timerId = NO_TIMER;
  private long timerDueUs = WatchStateMachine.NEVER;
  private boolean answered;

  /**
   * Creates a watch that has no address yet.
   *
   * @param settings supplies the current settings, which a reload may change
   * @param seed seed of the jitter
   * @param initialGeneration generation of the list known at the start
   * @param events receives lists and failures on the event loop
   * @param clock clock in microseconds
   */
  public DiscoveryWatch(
      Vertx vertx,
      Supplier<Settings> settings,
      long seed,
      long initialGeneration,
      EndpointListReader reader,
      Consumer<Event> events,
      LongSupplier clock) {
    this.vertx = vertx;
    this.reader = reader;
    this.events = events;
    this.clock = clock;
    stateMachine =
        new WatchStateMachine(() -> WatchTimings.of(settings.get()), initialGeneration, seed);
    client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MS).setKeepAlive(false));
  }

  @Override
  public boolean hasAnswered() {
    return answered;
  }

  @Override
  public void start() {
    // the watch starts with the first call of follow()
  }

  @Override
  public void follow(String host, int port) {
    perform(stateMachine.follow(clock.getAsLong(), host, port));
  }

  @Override
  public void stop() {
    perform(stateMachine.stop());
  }

  /** Requests the changes since the last list; the new request replaces an open watch. */
  @Override
  public void resync() {
    perform(stateMachine.resync(clock.getAsLong()));
  }

  private void perform(List<WatchAction> actions) {
    for (WatchAction action : actions) {
      perform(action);
    }
    rescheduleTimer();
  }

  private void perform(WatchAction action) {
    if (action instanceof WatchAction.OpenRequest open) {
      ListRequest request = new ListRequest(open);
      requests.put(open.requestId(), request);
      request.open();
    } else if (action instanceof WatchAction.CloseRequest close) {
      requests.remove(close.requestId()).close();
    } else if (action instanceof WatchAction.CountFailure) {
      events.accept(new Event.ConditionCounted(Counter.SOURCES_UNAVAILABLE));
    } else if (action instanceof WatchAction.ReportUnavailable report) {
      events.accept(new Event.DiscoveryUnavailable(report.sinceUs()));
    } else if (action instanceof WatchAction.ReportRecovered) {
      events.accept(new Event.DiscoveryRecovered());
    }
  }

  private void rescheduleTimer() {
    long nextUs = stateMachine.nextUs();
    if (nextUs == timerDueUs) {
      return;
    }
    vertx.cancelTimer(timerId);
    timerDueUs = nextUs;
    timerId =
        nextUs == WatchStateMachine.NEVER
            ? NO_TIMER
            : vertx.setTimer(MicroClock.timerMs(clock.getAsLong(), nextUs), id -> onTimer());
  }

  private void onTimer() {
    timerDueUs = WatchStateMachine.NEVER;
    perform(stateMachine.onTimer(clock.getAsLong()));
  }

  /** One request for the list and its response. */
  private final class ListRequest {
    private final WatchAction.OpenRequest parameters;
    private final EndpointListParser parser = new EndpointListParser(MAX_LIST_BYTES);

    /** The connection, or null until it is established. */
    private HttpClientConnection connection;

    private long generation;

    ListRequest(WatchAction.OpenRequest parameters) {
      this.parameters = parameters;
      generation = Math.max(0, parameters.sinceGeneration());
    }

    private long id() {
      return parameters.requestId();
    }

    private boolean isActive() {
      return stateMachine.isActive(id());
    }

    private void onFailure() {
      perform(stateMachine.onFailure(clock.getAsLong(), id()));
    }

    void close() {
      // If the connection is still being established, onConnected closes it later.
      if (connection != null) {
        connection.close();
      }
    }

    /**
     * Opens a connection without a pool. A pool allows five connections per address, so five
     * hanging requests would block all further requests.
     */
    void open() {
      HttpConnectOptions options =
          new HttpConnectOptions()
              .setHost(parameters.host())
              .setPort(parameters.port())
              .setConnectTimeout(CONNECT_TIMEOUT_MS);
      client.connect(options).onComplete(this::onConnected);
    }

    private void onConnected(AsyncResult<HttpClientConnection> result) {
      if (result.failed()) {
        onFailure();
        return;
      }
      connection = result.result();
      // without a handler Vert.x logs each connection reset as an error
      connection.exceptionHandler(e -> onFailure());
      if (!isActive()) {
        close();
        return;
      }
      RequestOptions options =
          new RequestOptions().setHost(parameters.host()).setPort(parameters.port()).setURI(uri());
      connection.request(options).onSuccess(this::send).onFailure(e -> onFailure());
    }

    private String uri() {
      long since = parameters.sinceGeneration();
      return since == WatchStateMachine.NO_GENERATION
          ? LIST_URI
          : LIST_URI + "?follow=1&since=" + since;
    }

    private void send(HttpClientRequest request) {
      request.exceptionHandler(e -> onFailure());
      request.send().onSuccess(this::onResponse).onFailure(e -> onFailure());
    }

    private void onResponse(HttpClientResponse response) {
      if (response.statusCode() != STATUS_OK) {
        onFailure();
        return;
      }
      perform(stateMachine.onResponse(clock.getAsLong(), id()));
      response.handler(bytes -> onData(bytes.getBytes()));
      response.exceptionHandler(e -> onFailure());
      response.endHandler(end -> onFailure());
    }

    private void onData(byte[] bytes) {
      try {
        List<String> lists = isActive() ? parser.read(bytes) : List.of();
        perform(stateMachine.onData(clock.getAsLong(), id(), parser.isInObject()));
        for (int strayLines = parser.takeStrayLines(); strayLines > 0; strayLines--) {
          countMalformed(); // stray lines are counted and otherwise ignored
        }
        for (String list : lists) {
          if (isActive()) {
            apply(Json.parse(list).asObject());
          }
        }
        parser.check();
      } catch (MalformedListException | RuntimeException e) {
        // The JSON library throws several unchecked exceptions for malformed content. The request
        // counts as failed, because the lost content must be requested again.
        countMalformed();
        onFailure();
      }
    }

    private void countMalformed() {
      events.accept(new Event.ConditionCounted(Counter.ENDPOINT_ENTRIES_INVALID));
    }

    private void apply(JsonObject list) {
      Event.EndpointsUpdated update = reader.read(list, false);
      long listGeneration = list.getLong("generation", generation);
      boolean complete = update.kind() == ServerListKind.FULL;
      if (!stateMachine.accepts(id(), listGeneration, complete)) {
        countMalformed();
        perform(stateMachine.onUnusableList(clock.getAsLong(), id()));
        return;
      }
      generation = listGeneration;
      answered = true;
      events.accept(update);
      events.accept(new Event.EndpointListGenerationChanged(generation));
      perform(stateMachine.onList(clock.getAsLong(), id(), generation));
    }
  }
}
