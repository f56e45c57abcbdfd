package dunlinhitch.server;

import dunlinhitch.admin.AdminServer;
import dunlinhitch.admin.DisabledEndpointFolder;
import dunlinhitch.config.Config;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.Reducer;
import io.vertx.core.Future;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * The operators' side of a broker: the admin server, if the configuration has an address for it,
 * and the folder in which administratively disabled endpoints are persisted. Runs on the event
 * loop.
 */
final class AdminInterface {
  /** Folder of the disabled endpoints' ids, below the folder that processes of a broker share. */
  private static final String DISABLED_ENDPOINTS_FOLDER = "stores-out";

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int INTERNAL_ERROR = 500;

  private final Config config;
  private final Consumer<String> log;

  /**
   * Null if the configuration has no admin address. Effects that reply to operators do not occur in
   * that case, because only calls to this server cause them.
   */
  private final AdminServer server;

  private final DisabledEndpointFolder disabledEndpoints;

  AdminInterface(
      BrokerRuntime runtime, Reducer reducer, BooleanSupplier ready, Consumer<Event> events) {
    config = runtime.config();
    log = runtime.log();
    server =
        config.admin() == null
            ? null
            : new AdminServer(runtime.vertx(), ready, reducer::status, events, runtime.clock());
    disabledEndpoints =
        new DisabledEndpointFolder(
            runtime.vertx(),
            config.sharedFolder(DISABLED_ENDPOINTS_FOLDER),
            (disabled, enabled) ->
                events.accept(new Event.DisabledEndpointsChanged(disabled, enabled)));
  }

  /** Listens; the result is the port, or 0 if there is no admin server. */
  Future<Integer> listen() {
    return server == null
        ? Future.succeededFuture(0)
        : server.listen(config.admin().host(), config.admin().port());
  }

  /**
   * Reads the disabled endpoints, and follows changes by other processes if {@code shared} is set.
   * The result is true if another process of this broker has used the folder before. The broker
   * also starts if the folder is unusable. Operators' calls then fail, because their changes cannot
   * be persisted.
   */
  Future<Boolean> restoreDisabledEndpoints(boolean shared) {
    return disabledEndpoints
        .start(shared)
        .recover(
            cause -> {
              log.accept(
                  "administratively disabled endpoints cannot be restored or persisted: " + cause);
              return Future.succeededFuture(false);
            });
  }

  /** Persists that an endpoint was disabled or enabled, then answers the operator's call. */
  void persist(Effect.PersistDisabledEndpoint change) {
    disabledEndpoints
        .persist(change.endpoint(), change.disabled())
        .onSuccess(v -> server.reply(change.call(), OK, change.disabled() ? "out" : "may serve"))
        .onFailure(
            cause ->
                server.reply(
                    change.call(), INTERNAL_ERROR, "it could not be kept: " + cause.getMessage()));
  }

  /** Answers an operator's call that names an unknown endpoint. */
  void rejectUnknown(Effect.RejectUnknownEndpoint rejection) {
    server.reply(rejection.call(), NOT_FOUND, "no such calendar store");
  }

  Future<Void> close() {
    return server == null ? Future.succeededFuture() : server.close();
  }
}
