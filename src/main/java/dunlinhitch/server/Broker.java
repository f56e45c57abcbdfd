package dunlinhitch.server;

import dunlinhitch.backend.Backends;
import dunlinhitch.config.Config;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.core.Reducer;
import dunlinhitch.frontend.http.ClientListener;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * A broker: wires the frontends, the reducer, the backends and the endpoint sources on one event
 * loop. All methods are called on that event loop.
 */
public final class Broker {
  /**
   * If the predecessor runs a release that does not support process locks, this process cannot
   * detect when the predecessor ends. It then assumes for this time that the predecessor is still
   * running.
   */
  private static final long UNDETECTED_OVERLAP_US = 6_000_000;

  /** Folder of the claimed query ids, below the folder that processes of a broker share. */
  private static final String QUERY_IDS_FOLDER = "query-ids";

  /** Folder of the processes' locks, below the folder that processes of a broker share. */
  private static final String LOCK_FOLDER = "processes";

  private static final String STOPPED_BEFORE_LISTENING =
      "broker was asked to stop before it started to listen";

  private final BrokerRuntime runtime;
  private final Vertx vertx;
  private final MicroClock clock = new MicroClock();
  private final boolean shared;
  private final Promise<Void> ended = Promise.promise();
  private final Reducer reducer;
  private final ReducerLoop loop;
  private final QueryIdClaims queryIdClaims;
  private final Frontends frontends;
  private final AdminInterface admin;
  private final BackendTransportFactory transportFactory;
  private final Backends backends;
  private final EndpointSources endpointSources;
  private final Readiness readiness;
  private final ConfigurationReloader configurationReloader;

  /**
   * Null unless the product's settings file has a {@code [fleet]} section, so that the classes for
   * gossip are not loaded.
   */
  private final ClusterGossip clusterGossip;

  /** Null if the processes of this broker share no folder. */
  private final OverlapMonitor overlapMonitor;

  /** True once clients may have been accepted. */
  private boolean opened;

  /** Null until a graceful shutdown begins. */
  private ShutdownDeadlines shutdownDeadlines;

  /**
   * Creates a broker that creates its own listening socket; called on the event loop that runs it.
   */
  public Broker(Vertx vertx, Context context, Config config, Consumer<String> log) {
    this(vertx, context, config, log, null);
  }

  /**
   * Creates a broker that accepts clients from {@code listener}; called on the event loop that runs
   * it.
   */
  public Broker(
      Vertx vertx, Context context, Config config, Consumer<String> log, ClientListener listener) {
    this.vertx = vertx;
    long startUs = clock.getAsLong();
    runtime = new BrokerRuntime(vertx, context, config, clock, log);
    shared = listener != null && listener.isShared();
    if (config.gossipAddresses() != null && config.gossipAddresses().unusableReason() != null) {
      log.accept(config.gossipAddresses().unusableReason());
    }
    clusterGossip =
        config.product().cluster() == null ? null : new ClusterGossip(vertx, config, clock);
    reducer =
        ReducerFactory.create(
            config, clusterGossip == null ? null : clusterGossip.identity(), startUs);
    loop =
        new ReducerLoop(
            vertx, context, reducer, clock, () -> reducer.settings().tickUs(), this::reportFault);
    DescriptorBudget budget = new DescriptorBudget(config.sockets(), shared);
    queryIdClaims =
        new QueryIdClaims(vertx, config.sharedFolder(QUERY_IDS_FOLDER), clock, loop, runtime.log());
    frontends = new Frontends(runtime, reducer, budget, listener, this::isReady, queryIdClaims);
    admin = new AdminInterface(runtime, reducer, this::isReady, loop);
    transportFactory = new BackendTransportFactory(runtime, reducer, budget, loop);
    backends = new Backends(transportFactory::open, loop);
    endpointSources = new EndpointSources(runtime, reducer, loop);
    readiness = new Readiness(endpointSources, reducer, clock, startUs);
    configurationReloader = new ConfigurationReloader(runtime, loop);
    overlapMonitor =
        config.sharedFolder() == null
            ? null
            : new OverlapMonitor(
                vertx, config.sharedFolder(LOCK_FOLDER), clock, loop, runtime.log());
    loop.setEffectHandler(effectDispatcher());
    loop.accept(
        new Event.DiscoveryConfigured(config.discovery().host(), config.discovery().port()));
  }

  private EffectDispatcher effectDispatcher() {
    EffectDispatcher dispatcher =
        new EffectDispatcher()
            .on(Effect.SendRequest.class, backends::send)
            .on(Effect.SendResponse.class, frontends::send)
            .on(Effect.ReleaseQueryId.class, queryIdClaims::release)
            .on(Effect.CancelAttempt.class, backends::cancel)
            .on(Effect.WithdrawAttempt.class, backends::withdraw)
            .on(Effect.SendHealthCheck.class, backends::sendHealthCheck)
            .on(
                Effect.CloseIdleConnections.class,
                effect -> backends.closeIdleConnections(effect.endpoint()))
            .on(
                Effect.EndpointChanged.class,
                effect ->
                    backends.endpointChanged(effect.number(), effect.endpoint(), effect.disabled()))
            .on(Effect.PersistDisabledEndpoint.class, admin::persist)
            .on(Effect.RejectUnknownEndpoint.class, admin::rejectUnknown)
            .on(Effect.RefreshEndpoints.class, effect -> endpointSources.resync())
            .on(Effect.ChangeDiscoveryAddress.class, endpointSources::changeAddress)
            .on(Effect.ReloadConfiguration.class, effect -> reloadIfChanged())
            .on(Effect.LogMessage.class, effect -> runtime.log().accept(effect.text()))
            .on(Effect.ShutdownCompleted.class, effect -> closeConnections());
    if (clusterGossip != null) {
      dispatcher.on(Effect.SendGossip.class, effect -> clusterGossip.send(effect));
    }
    return dispatcher;
  }

  /**
   * Listens for operators, before clients are accepted; the result is the port, or 0 if the
   * configuration has no admin address.
   */
  public Future<Integer> listenForAdmin() {
    return admin.listen();
  }

  /**
   * Listens for clients and follows the endpoint sources; the result is the port of the HTTP
   * frontend. Fails if the broker was asked to stop before it listened.
   */
  public Future<Integer> start() {
    if (readiness.isStopping()) {
      return Future.failedFuture(STOPPED_BEFORE_LISTENING);
    }
    vertx.exceptionHandler(this::reportFault);
    endpointSources.start();
    return admin
        .restoreDisabledEndpoints(shared)
        .compose(this::listenForClients)
        .compose(v -> listenForGossip())
        .map(
            v -> {
              readiness.onStarted();
              endpointSources.register();
              return frontends.httpPort();
            });
  }

  private Future<Void> listenForClients(boolean hasPredecessor) {
    if (readiness.isStopping()) {
      return Future.failedFuture(STOPPED_BEFORE_LISTENING);
    }
    opened = true;
    return watchForOverlap(hasPredecessor)
        .compose(v -> queryIdClaims.start())
        .compose(v -> frontends.listen());
  }

  /**
   * If other processes may accept from the same socket, watches for them. While another one is
   * running, each process uses half of the shared budgets.
   */
  private Future<Void> watchForOverlap(boolean hasPredecessor) {
    if (!shared) {
      return Future.succeededFuture();
    }
    Future<Boolean> seen =
        overlapMonitor == null ? Future.succeededFuture(false) : overlapMonitor.start();
    return seen.otherwise(
            cause -> {
              runtime.log().accept("cannot watch for other processes of this broker: " + cause);
              return false;
            })
        .map(
            overlapping -> {
              if (hasPredecessor && !overlapping) {
                loop.accept(new Event.OverlapStarted(clock.getAsLong() + UNDETECTED_OVERLAP_US));
              }
              return null;
            });
  }

  private Future<Void> listenForGossip() {
    if (clusterGossip == null) {
      return Future.succeededFuture();
    }
    String name = runtime.config().name();
    return clusterGossip
        .listen(loop)
        .onSuccess(
            port ->
                runtime.log().accept(name + " receives gossip from other brokers on port " + port))
        .mapEmpty();
  }

  /**
   * Logs and counts a fault; queries that the fault left open end by their own deadlines. Runs on
   * any thread.
   */
  private void reportFault(Throwable fault) {
    StackTraceElement[] trace = fault.getStackTrace();
    runtime.log().accept("fault: " + fault + (trace.length > 0 ? " at " + trace[0] : ""));
    vertx.runOnContext(v -> loop.accept(new Event.ConditionCounted(Counter.FAULTS)));
  }

  private boolean isReady() {
    return readiness.isReady();
  }

  /**
   * Shuts down gracefully; the result completes when the shutdown has ended.
   *
   * <p>At first the broker continues to serve connected clients: the other brokers may be
   * restarting too, and the next process does not start earlier if this one ends early. When the
   * time left is half of the longest query deadline, the broker starts to close each connection
   * with its next response, and it ends once nothing is in flight. If another process accepts from
   * the same socket, responses close their connections from the start. A broker that does not
   * listen yet ends at once.
   */
  public Future<Void> stop() {
    readiness.onStopping();
    endpointSources.deregister();
    if (!opened) {
      return close();
    }
    long nowUs = clock.getAsLong();
    ShutdownDeadlines deadlines = ShutdownDeadlines.startingAt(nowUs, reducer.settings());
    shutdownDeadlines = deadlines;
    loop.accept(new Event.DrainStarted(deadlines.lastResponseUs()));
    schedule(nowUs, deadlines.closedUs(), ended::tryComplete);
    if (shared) {
      if (overlapMonitor != null) {
        overlapMonitor.stop();
      }
      loop.accept(new Event.OverlapStarted(Long.MAX_VALUE));
      frontends.beginHotRestart();
    }
    schedule(nowUs, deadlines.drainUs(), frontends::drain);
    schedule(nowUs, deadlines.shutdownUs(), () -> loop.accept(new Event.ShutdownRequested()));
    return ended.future();
  }

  private void schedule(long nowUs, long dueUs, Runnable task) {
    vertx.setTimer(MicroClock.timerMs(nowUs, dueUs), timer -> task.run());
  }

  /**
   * Shuts down without a grace period; call only if no client can be sending a request. The result
   * completes when the shutdown has ended.
   */
  public Future<Void> close() {
    loop.accept(new Event.ShutdownRequested());
    return ended.future();
  }

  private void closeConnections() {
    endpointSources.stop();
    long dueUs = ShutdownDeadlines.closeDueUs(shutdownDeadlines, clock.getAsLong());
    Future.join(
            endpointSources.close(),
            frontends.close(dueUs),
            admin.close(),
            clusterGossip == null ? Future.succeededFuture() : clusterGossip.close())
        .onComplete(
            closed -> {
              backends.close();
              transportFactory.close();
              ended.tryComplete();
            });
  }

  /** Reads the configuration again, off the event loop, and applies its settings and addresses. */
  public void reload(Supplier<Config> reader) {
    configurationReloader.reload(reader);
  }

  /** Sets how the configuration is read again when other brokers have a newer one. */
  public void setConfigurationReader(Supplier<Config> reader) {
    configurationReloader.setReader(reader);
  }

  void reloadIfChanged() {
    configurationReloader.reloadIfChanged();
  }

  /** Returns the port of the Arrow Flight frontend once it listens, else 0. */
  public int flightPort() {
    return frontends.flightPort();
  }

  /** Returns all counters, one line each. */
  public String counters() {
    return reducer.counters().lines();
  }
}
