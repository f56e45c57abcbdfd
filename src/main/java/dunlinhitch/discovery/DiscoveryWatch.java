package dunlinhitch.discovery;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
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
 * Follows discovery. While it is lost or silent the last list stands; the watch is opened again and
 * says which list it had, so that what was missed comes first. Where discovery moves, the old
 * address is heard until the new one has spoken. When that is to be is the {@link
 * WatchStateMachine}'s; this reads and writes.
 */
public final class DiscoveryWatch implements DiscoverySource {
  private static final int MOST_BYTES = 4 << 20;
  private static final int CONNECT_MS = 1000;
  private static final String LIST = "/registry/instances";
  private final Vertx vertx;
  private final HttpClientAgent client;
  private final EndpointListReader reader;
  private final Consumer<Event> events;
  private final LongSupplier clock;
  private final WatchStateMachine plan;

  /** Calls that are out, by their numbers. */
  private final Map<Long, Call> calls = new HashMap<>();

  private long timer = -1;
  private long timerUs = WatchStateMachine.NEVER;
  private boolean answered;

  /** {@code settings}: as they are now, for a new configuration may bring others. */
  public DiscoveryWatch(
      Vertx vertx,
      Supplier<Settings> settings,
      long seed,
      long knownGeneration,
      EndpointListReader reader,
      Consumer<Event> events,
      LongSupplier clock) {
    this.vertx = vertx;
    this.reader = reader;
    this.events = events;
    this.clock = clock;
    plan = new WatchStateMachine(() -> WatchTimings.of(settings.get()), knownGeneration, seed);
    client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_MS).setKeepAlive(false));
  }

  @Override
  public boolean answered() {
    return answered;
  }

  @Override
  public void start() {
    // begins with the address that it is told to follow
  }

  @Override
  public void follow(String host, int port) {
    carryOut(plan.follow(clock.getAsLong(), host, port));
  }

  @Override
  public void stop() {
    carryOut(plan.stop());
  }

  /** Asks again from the list that is held; the watch that was open ends. */
  @Override
  public void resync() {
    carryOut(plan.resync(clock.getAsLong()));
  }

  private void carryOut(List<WatchStateMachine.Step> steps) {
    for (WatchStateMachine.Step step : steps) {
      if (step instanceof WatchStateMachine.Step.Ask ask) {
        Call call = new Call(ask);
        calls.put(ask.call(), call);
        call.open();
      } else if (step instanceof WatchStateMachine.Step.Drop drop) {
        calls.remove(drop.call()).close();
      } else if (step instanceof WatchStateMachine.Step.Lost) {
        events.accept(new Event.ConditionCounted(Counter.ROSTER_LOST));
      } else if (step instanceof WatchStateMachine.Step.Silent silent) {
        events.accept(new Event.DiscoveryUnavailable(silent.sinceUs()));
      } else if (step instanceof WatchStateMachine.Step.Heard) {
        events.accept(new Event.DiscoveryRecovered());
      }
    }
    long next = plan.nextUs();
    if (next != timerUs) {
      vertx.cancelTimer(timer);
      timerUs = next;
      timer =
          next == WatchStateMachine.NEVER
              ? -1
              : vertx.setTimer(
                  MicroClock.timerMs(clock.getAsLong(), next),
                  t -> {
                    timerUs = WatchStateMachine.NEVER;
                    carryOut(plan.passed(clock.getAsLong()));
                  });
    }
  }

  /** One call, and what is read by it. */
  private final class Call {
    private final WatchStateMachine.Step.Ask ask;
    private final EndpointListParser text = new EndpointListParser(MOST_BYTES);
    private HttpClientConnection connection;
    private long generation;

    Call(WatchStateMachine.Step.Ask ask) {
      this.ask = ask;
      generation = Math.max(0, ask.since());
    }

    private boolean isHeard() {
      return plan.hears(ask.call());
    }

    private void lost() {
      carryOut(plan.lost(clock.getAsLong(), ask.call()));
    }

    void close() {
      if (connection != null) { // else it is closed when it comes up
        connection.close();
      }
    }

    /**
     * A connection of its own, not one of a pool: a pool has five for an address, and while five
     * calls hang it would make none of those that are to be made beside them.
     */
    void open() {
      client
          .connect(
              new HttpConnectOptions()
                  .setHost(ask.host())
                  .setPort(ask.port())
                  .setConnectTimeout(CONNECT_MS))
          .onComplete(
              made -> {
                if (made.failed()) {
                  lost();
                  return;
                }
                connection = made.result();
                // without a handler Vert.x writes each reset to the log as an error
                connection.exceptionHandler(e -> lost());
                if (!isHeard()) {
                  close();
                  return;
                }
                String uri =
                    ask.since() == WatchStateMachine.NONE_YET
                        ? LIST
                        : LIST + "?follow=1&since=" + ask.since();
                connection
                    .request(
                        new RequestOptions().setHost(ask.host()).setPort(ask.port()).setURI(uri))
                    .onSuccess(this::send)
                    .onFailure(e -> lost());
              });
    }

    private void send(HttpClientRequest request) {
      request.exceptionHandler(e -> lost());
      request.send().onSuccess(this::listen).onFailure(e -> lost());
    }

    private void listen(HttpClientResponse response) {
      if (response.statusCode() != 200) {
        lost();
        return;
      }
      carryOut(plan.answered(clock.getAsLong(), ask.call()));
      response.handler(bytes -> read(bytes.getBytes()));
      response.exceptionHandler(e -> lost());
      response.endHandler(v -> lost());
    }

    private void read(byte[] bytes) {
      try {
        List<String> lists = isHeard() ? text.read(bytes) : List.of();
        carryOut(plan.heard(clock.getAsLong(), ask.call(), text.isWithin()));
        for (int strays = text.strays(); strays > 0; strays--) {
          events.accept(
              new Event.ConditionCounted(
                  Counter.BAD_ROSTER_ENTRIES)); // a line that is no list changes nothing
        }
        for (String list : lists) {
          if (isHeard()) {
            take(Json.parse(list).asObject());
          }
        }
        text.check();
      } catch (EndpointListParser.SpoiltException
          | RuntimeException e) { // what it held is missing: it is asked for again
        events.accept(new Event.ConditionCounted(Counter.BAD_ROSTER_ENTRIES));
        lost();
      }
    }

    private void take(JsonObject list) {
      Event.EndpointsUpdated news = reader.read(list, false);
      long numbered = list.getLong("generation", generation);
      if (!plan.fits(ask.call(), numbered, news.kind() == ServerListKind.FULL)) {
        events.accept(new Event.ConditionCounted(Counter.BAD_ROSTER_ENTRIES));
        carryOut(plan.misfit(clock.getAsLong(), ask.call()));
        return;
      }
      generation = numbered;
      answered = true;
      events.accept(news);
      events.accept(new Event.EndpointListGenerationChanged(generation));
      carryOut(plan.listed(clock.getAsLong(), ask.call(), generation));
    }
  }
}
