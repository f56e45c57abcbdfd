package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerEvent;

/** Sends health checks and ends each exactly once. Owned by the reducer; not thread-safe. */
final class HealthCheckStage {
  private static final float[] NO_REPORT = {};

  private final TurnContext context;
  private final InFlightRegistry registry;
  private final Counters counters;
  private final TimerQueue timers;
  private final BalancerGateway balancer;
  private final DeferredEvents deferredEvents;
  private final HealthCheckCoordinator coordinator;
  private long lastHealthCheckId;

  HealthCheckStage(
      ReducerState state, BalancerGateway balancer, HealthCheckCoordinator coordinator) {
    context = state.context();
    registry = state.registry();
    counters = state.counters();
    timers = state.timers();
    deferredEvents = state.deferredEvents();
    this.balancer = balancer;
    this.coordinator = coordinator;
  }

  /**
   * Checks an endpoint at the request of the load balancer, unless another broker is responsible
   * for it. If the endpoint is unknown or disabled, the check ends as {@code MOOT} in a later turn.
   */
  void request(int endpointNumber) {
    TrackedEndpoint endpoint = registry.endpoints.get(endpointNumber);
    if (endpoint == null || registry.isDisabled(endpoint)) {
      deferredEvents.defer(
          new BalancerEvent.HealthCheckCompleted(
              endpointNumber, AttemptOutcome.MOOT, 0, NO_REPORT));
      return;
    }
    if (coordinator.mayCheck(endpoint)) {
      send(endpoint);
    }
  }

  /** Sends a health check to an endpoint immediately. */
  void send(TrackedEndpoint endpoint) {
    PendingHealthCheck check =
        new PendingHealthCheck(++lastHealthCheckId, endpoint, context.nowUs());
    registry.healthChecks.put(check.id(), check);
    timers.schedule(
        context.nowUs() + context.settings().limits().connectTimeoutUs(),
        TimerQueue.Kind.HEALTH_CHECK,
        check.id());
    counters.add(Counter.HEALTH_CHECKS_SENT);
    context.emit(new Effect.SendHealthCheck(endpoint.number, check.id()));
  }

  /**
   * Ends a health check whose time limit has expired. Has no effect if the check has already ended.
   */
  void onTimeLimit(long id) {
    end(id, AttemptOutcome.TIMEOUT, NO_REPORT);
  }

  void handle(Event.HealthCheckCompleted event) {
    end(event.healthCheck(), event.outcome(), event.report());
  }

  private void end(long id, AttemptOutcome outcome, float[] report) {
    PendingHealthCheck check = registry.healthChecks.remove(id);
    if (check == null) {
      return;
    }
    coordinator.onHealthCheckEnded(check.endpoint(), outcome, report);
    balancer.deliver(
        new BalancerEvent.HealthCheckCompleted(
            check.endpoint().number, outcome, context.nowUs() - check.sentUs(), report));
  }
}
