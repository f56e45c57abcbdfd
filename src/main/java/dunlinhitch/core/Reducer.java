package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.LoadBalancer;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.endpoints.EndpointRegistry;
import dunlinhitch.endpoints.EndpointRegistrySettings;
import dunlinhitch.twophase.TwoPhasePlanner;
import dunlinhitch.twophase.TwoPhaseSettings;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The state machine of a broker: takes the events of one turn and returns the effects for the edges
 * to carry out. Each event is handled by the stage responsible for it; scheduling decisions are
 * made by the load balancer.
 *
 * <p>Uses no clock, I/O or threads. Owned by one event loop; not thread-safe.
 */
public final class Reducer {
  private final ReducerState state;
  private final TurnContext context;
  private final ClassOutcomes outcomes = new ClassOutcomes();
  private final BalancerGateway balancer;
  private final LifecycleStage lifecycle;
  private final AttemptStage attempts;
  private final HealthCheckStage healthChecks;
  private final EndpointStage endpoints;
  private final ConfigurationStage configuration;
  private final OperatorStage operators;
  private final QueryStage queries;

  /** Null if no class uses two phases. */
  private final TwoPhaseStage twoPhases;

  /** Null if this broker is not part of a cluster. */
  private final ClusterStage cluster;

  /**
   * Creates the reducer of a single broker that executes the queries of all classes in one phase.
   *
   * @param settings the initial settings
   * @param seed seed for all random choices
   * @param nowUs the time of creation, in microseconds
   */
  public Reducer(Settings settings, long seed, long nowUs) {
    this(settings, null, List.of(), seed, nowUs);
  }

  /**
   * Creates the reducer of a single broker.
   *
   * @param settings the initial settings
   * @param claimSettings rules for endpoint claims; null for the defaults derived from the layout
   * @param twoPhaseSettings settings of the classes that may use two phases
   * @param seed seed for all random choices
   * @param nowUs the time of creation, in microseconds
   */
  public Reducer(
      Settings settings,
      EndpointRegistrySettings claimSettings,
      List<TwoPhaseSettings> twoPhaseSettings,
      long seed,
      long nowUs) {
    this(settings, claimSettings, twoPhaseSettings, null, seed, nowUs);
  }

  /**
   * Creates the reducer of a broker that may be part of a cluster.
   *
   * @param settings the initial settings
   * @param claimSettings rules for endpoint claims; null for the defaults derived from the layout
   * @param twoPhaseSettings settings of the classes that may use two phases
   * @param clusterIdentity this broker's identity in its cluster; null for a single broker
   * @param seed seed for all random choices
   * @param nowUs the time of creation, in microseconds
   */
  public Reducer(
      Settings settings,
      EndpointRegistrySettings claimSettings,
      List<TwoPhaseSettings> twoPhaseSettings,
      ClusterIdentity clusterIdentity,
      long seed,
      long nowUs) {
    context = new TurnContext(settings, nowUs);
    state = ReducerState.of(context);
    balancer = new BalancerGateway(context, state.counters());
    lifecycle = new LifecycleStage(state);
    attempts = new AttemptStage(state, this::onAttemptEnded);
    healthChecks = new HealthCheckStage(state, balancer, new ClusterHealthChecks());
    cluster =
        clusterIdentity == null
            ? null
            : new ClusterStage(clusterIdentity, seed, state, balancer, healthChecks);
    endpoints =
        new EndpointStage(
            state,
            claimSettings,
            cluster == null ? balancer::deliver : cluster::onEndpointsChanged);
    QueryCompletion completion = new QueryCompletion(state, outcomes, this::onQueryClosed);
    FirstPassClasses firstPassClasses =
        twoPhaseSettings.isEmpty() ? null : new FirstPassClasses(context, twoPhaseSettings);
    configuration =
        new ConfigurationStage(
            state, balancer, outcomes, firstPassClasses, this::onSettingsReloaded);
    twoPhases =
        twoPhaseSettings.isEmpty()
            ? null
            : new TwoPhaseStage(
                new TwoPhasePlanner(twoPhaseSettings, new SplittableRandom(seed)),
                configuration,
                state,
                balancer,
                completion,
                attempts);
    operators = new OperatorStage(state, balancer, attempts, endpoints::nextNumber);
    queries = new QueryStage(completion, balancer, lifecycle, twoPhases, this::isFenced, state);
    BalancerActionHandler actions =
        new BalancerActionHandler(state, balancer, completion, attempts, healthChecks, twoPhases);
    balancer.start(new LoadBalancer(configuration.balancerSettings(), seed, actions));
  }

  // ---- state read by edges and operators

  /** The two-phase statistics of each class, for operators; empty if no class uses two phases. */
  public List<TwoPhasePlanner.ClassStatus> twoPhaseStatistics() {
    return twoPhases == null ? List.of() : twoPhases.statistics();
  }

  /** The counters of this broker. The same object is returned for the lifetime of the reducer. */
  public Counters counters() {
    return state.counters();
  }

  /** The current settings. Edges must not cache them, because a reload may replace them. */
  public Settings settings() {
    return context.settings();
  }

  /** The current status, for operators. */
  public BrokerStatus status() {
    Counters counters = state.counters();
    int listed = 0;
    int skipped = 0;
    for (TrackedEndpoint endpoint : state.registry().endpoints.values()) {
      if (endpoint.state() == ServerState.GONE) {
        continue;
      }
      listed++;
      if (endpoint.state() != ServerState.READY || state.registry().isDisabled(endpoint)) {
        skipped++;
      }
    }
    return new BrokerStatus(
        outcomes.list(),
        counters.get(Counter.ATTEMPTS_WRITTEN),
        openQueries(),
        listed,
        skipped,
        counters.get(Counter.CONFIGURATIONS_LOADED),
        counters.get(Counter.BAD_CONFIGURATIONS));
  }

  /** The registry of endpoints, with the status of each and the reason for it. */
  public EndpointRegistry endpointRegistry() {
    return endpoints.endpointRegistry();
  }

  /**
   * True while this broker is fenced: it admits no queries, because its settings or endpoint list
   * are too far out of date.
   */
  public boolean isFenced() {
    return cluster != null && cluster.isFenced();
  }

  /** The number of queries without a response yet. */
  public int openQueries() {
    return state.registry().queries.size();
  }

  // ---- turns

  /**
   * Runs one turn: handles all events read since the last turn, at a single point in time.
   *
   * @param nowUs the time of the turn, in microseconds; if it is before the time of the previous
   *     turn, the previous turn's time is used
   * @param events the events to handle, in order
   * @return the effects to carry out, in order
   */
  public List<Effect> turn(long nowUs, List<Event> events) {
    return turn(nowUs, nowUs, events);
  }

  /**
   * Runs one turn that may be late. The grace period of a draining endpoint starts when discovery
   * writes the notification. This turn's notifications are therefore treated as written at {@code
   * unreadSinceUs}. Endpoint events are handled first, so that the attempts of this turn are sent
   * according to the newest endpoint states.
   *
   * @param nowUs the time of the turn, in microseconds; if it is before the time of the previous
   *     turn, the previous turn's time is used
   * @param unreadSinceUs the earliest time, in microseconds, at which one of the events may have
   *     arrived at an edge; at most {@code nowUs}
   * @param events the events to handle, in order
   * @return the effects to carry out, in order
   */
  public List<Effect> turn(long nowUs, long unreadSinceUs, List<Event> events) {
    long turnUs = Math.max(context.nowUs(), nowUs);
    context.begin(turnUs, Math.min(turnUs, unreadSinceUs));
    if (lifecycle.isStopped()) {
      return turnAfterShutdown(events);
    }
    List<BalancerEvent> dueEvents = state.deferredEvents().takeDue(context.nowUs());
    endpoints.advance();
    if (cluster != null) {
      cluster.advance();
    }
    events.stream().filter(Reducer::concernsEndpoints).forEach(this::handle);
    dueEvents.forEach(balancer::deliver);
    events.stream().filter(event -> !concernsEndpoints(event)).forEach(this::handle);
    state.timers().fireDue(context.nowUs(), this::onTimer);
    attempts.flush(twoPhases != null);
    scheduleWakeUp();
    lifecycle.completeIfIdle();
    return context.takeEffects();
  }

  /**
   * Runs a turn after shutdown: no decisions are made, but each request that a frontend still reads
   * gets a response.
   */
  private List<Effect> turnAfterShutdown(List<Event> events) {
    events.stream()
        .filter(
            event ->
                event instanceof Event.QueryReceived || event instanceof Event.ConditionCounted)
        .forEach(this::handle);
    return context.takeEffects();
  }

  private void scheduleWakeUp() {
    long nextUs = Math.min(state.deferredEvents().nextUs(), endpoints.nextUs());
    if (cluster != null) {
      nextUs = Math.min(nextUs, cluster.nextUs());
    }
    nextUs = Math.min(nextUs, state.timers().nextUs());
    if (nextUs < Long.MAX_VALUE) {
      context.emit(new Effect.ScheduleWakeUp(nextUs));
    }
  }

  private static boolean concernsEndpoints(Event event) {
    return event instanceof Event.EndpointEvent || event instanceof Event.DisabledEndpointsChanged;
  }

  private void handle(Event event) {
    if (event instanceof Event.QueryEvent queryEvent) {
      queries.handle(queryEvent);
    } else if (event instanceof Event.AttemptEvent attemptEvent) {
      handleAttempt(attemptEvent);
    } else if (event instanceof Event.HealthCheckCompleted completed) {
      healthChecks.handle(completed);
    } else if (event instanceof Event.EndpointEvent endpointEvent) {
      endpoints.handle(endpointEvent);
    } else if (event instanceof Event.OperatorEvent operatorEvent) {
      operators.handle(operatorEvent);
    } else if (event instanceof Event.ConfigurationEvent configurationEvent) {
      configuration.handle(configurationEvent);
    } else if (event instanceof Event.LifecycleEvent lifecycleEvent) {
      handleLifecycle(lifecycleEvent);
    } else if (event instanceof Event.ClusterEvent clusterEvent) {
      handleCluster(clusterEvent);
    } else if (event instanceof Event.ConditionCounted counted) {
      state.counters().add(counted.counter());
    }
  }

  private void handleAttempt(Event.AttemptEvent event) {
    if (event instanceof Event.AttemptsWritten written) {
      state.counters().add(Counter.ATTEMPTS_WRITTEN, written.attempts());
    } else if (event instanceof Event.AttemptCompleted completed) {
      onAttemptCompleted(completed);
    } else if (event instanceof Event.FirstPassCompleted completed) {
      onFirstPassCompleted(completed);
    } else if (event instanceof Event.AttemptReleased released) {
      release(released.attempt());
    }
  }

  private void onAttemptCompleted(Event.AttemptCompleted event) {
    InFlightAttempt attempt = state.registry().attempts.get(event.attempt());
    if (attempt == null) {
      if (!event.unconfirmed()) {
        // The attempt ended at this broker before its result arrived. The result shows that the
        // endpoint will no longer execute the attempt.
        release(event.attempt());
      }
    } else if (event.unconfirmed()) {
      balancer.deliver(attempts.endUnconfirmed(attempt, event.outcome()));
    } else {
      balancer.deliver(
          attempts.end(attempt, event.outcome(), event.report(), event.value(), event.score()));
    }
  }

  private void onFirstPassCompleted(Event.FirstPassCompleted event) {
    InFlightAttempt attempt = state.registry().attempts.get(event.attempt());
    if (attempt == null) {
      release(event.attempt());
    } else if (twoPhases != null) {
      twoPhases.onFirstPassCompleted(attempt, event);
      balancer.deliver(attempts.end(attempt, AttemptOutcome.OK, event.report(), null, Double.NaN));
    }
  }

  private void release(long attempt) {
    attempts.release(attempt).ifPresent(balancer::deliver);
  }

  private void handleLifecycle(Event.LifecycleEvent event) {
    if (event instanceof Event.DrainStarted started) {
      lifecycle.onDrainStarted(started);
    } else if (event instanceof Event.ShutdownRequested) {
      lifecycle.onShutdownRequested();
      if (cluster != null) {
        cluster.leave();
      }
    }
  }

  private void handleCluster(Event.ClusterEvent event) {
    if (event instanceof Event.GossipReceived) {
      state.counters().add(Counter.GOSSIP_RECEIVED);
      if (lifecycle.isStopping()) {
        return;
      }
    }
    if (cluster != null) {
      cluster.handle(event);
    }
  }

  private void onTimer(TimerQueue.Kind kind, long id) {
    switch (kind) {
      case BALANCER -> balancer.deliver(new BalancerEvent.TimerFired(id));
      case ATTEMPT -> attempts.onTimeLimit(id);
      case HEALTH_CHECK -> healthChecks.onTimeLimit(id);
      case OVERLAP_END -> configuration.onOverlapEnd(id);
      case FIRST_PASS -> twoPhases.onFirstPassTimeLimit((int) id);
      case QUERY -> queries.onDeadline((int) id);
    }
  }

  // ---- notifications from stages to the optional stages

  private void onAttemptEnded(
      InFlightAttempt attempt, AttemptOutcome outcome, float[] report, String value) {
    if (cluster != null) {
      cluster.onAttemptEnded(attempt.endpoint(), outcome, report);
    }
    if (twoPhases != null && outcome == AttemptOutcome.OK && !attempt.firstPass()) {
      twoPhases.onFullPassCompleted(attempt, value);
    }
  }

  private void onQueryClosed(InFlightQuery query) {
    if (twoPhases != null) {
      twoPhases.onQueryClosed(query);
    }
  }

  private void onSettingsReloaded(Settings settings) {
    if (cluster != null) {
      cluster.onSettingsReloaded(settings);
    }
  }

  private final class ClusterHealthChecks implements HealthCheckCoordinator {
    @Override
    public boolean mayCheck(TrackedEndpoint endpoint) {
      return cluster == null || cluster.mayCheck(endpoint);
    }

    @Override
    public void onHealthCheckEnded(
        TrackedEndpoint endpoint, AttemptOutcome outcome, float[] report) {
      if (cluster != null) {
        cluster.onHealthCheckEnded(endpoint, outcome, report);
      }
    }
  }
}
