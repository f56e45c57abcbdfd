package dunlinhitch.server;

import dunlinhitch.config.Config;
import dunlinhitch.config.Config.Address;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.Reducer;
import dunlinhitch.frontend.Exchanges;
import dunlinhitch.frontend.Frontend;
import dunlinhitch.frontend.QueryReader;
import dunlinhitch.frontend.flight.FlightFrontend;
import dunlinhitch.frontend.http.ClientListener;
import dunlinhitch.frontend.http.HttpFrontend;
import io.vertx.core.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** The frontends of a broker: HTTP, and Arrow Flight if it is enabled. Runs on the event loop. */
final class Frontends {
  /** Interval between two checks for exchanges whose response is overdue, in milliseconds. */
  private static final long OVERDUE_CHECK_MS = 100;

  private final BrokerRuntime runtime;
  private final Config config;
  private final Consumer<String> log;
  private final Exchanges exchanges;
  private final HttpFrontend http;

  /** Null if Arrow Flight is disabled, so that Arrow's classes are not loaded. */
  private final Frontend flight;

  private int httpPort;
  private int flightPort;
  private long overdueTimer;

  Frontends(
      BrokerRuntime runtime,
      Reducer reducer,
      DescriptorBudget budget,
      ClientListener listener,
      BooleanSupplier ready,
      Consumer<Event> events) {
    this.runtime = runtime;
    config = runtime.config();
    log = runtime.log();
    exchanges = new Exchanges(events);
    QueryReader queryReader = new QueryReader(reducer::settings);
    http =
        new HttpFrontend(
            runtime.vertx(),
            exchanges,
            queryReader,
            events,
            runtime.clock(),
            budget::servedConnections,
            ready,
            () -> reducer.counters().lines(),
            listener,
            budget.clientConnections());
    flight =
        config.product().flight() == null
            ? null
            : new FlightFrontend(
                runtime.vertx(),
                runtime.context(),
                exchanges,
                queryReader,
                events,
                runtime.clock());
  }

  /** Listens for HTTP and then for Arrow Flight, if it is enabled. */
  Future<Void> listen() {
    overdueTimer =
        runtime
            .vertx()
            .setPeriodic(
                OVERDUE_CHECK_MS, timer -> exchanges.expireOverdue(runtime.clock().getAsLong()));
    return http.listen(config.listen().host(), config.listen().port())
        .onSuccess(port -> httpPort = port)
        .compose(port -> listenForFlight());
  }

  private Future<Void> listenForFlight() {
    if (flight == null) {
      return Future.succeededFuture();
    }
    Address address = config.product().flight();
    return flight
        .listen(address.host(), address.port())
        .onSuccess(this::onFlightListening)
        .mapEmpty();
  }

  private void onFlightListening(int port) {
    flightPort = port;
    log.accept(config.name() + " listens for Arrow Flight on port " + port);
  }

  int httpPort() {
    return httpPort;
  }

  int flightPort() {
    return flightPort;
  }

  void send(Effect.SendResponse response) {
    exchanges.complete(response.exchange(), response.response());
  }

  /** Leaves new connections to the other process that accepts from the same socket. */
  void beginHotRestart() {
    http.beginHotRestart();
  }

  /** Starts the drain: each HTTP response closes its connection. */
  void drain() {
    http.drain();
  }

  /** Closes all frontends, by {@code dueUs} at the latest. */
  Future<Void> close(long dueUs) {
    return Future.join(
            http.close(dueUs), flight == null ? Future.succeededFuture() : flight.close(dueUs))
        .onComplete(closed -> runtime.vertx().cancelTimer(overdueTimer))
        .mapEmpty();
  }
}
