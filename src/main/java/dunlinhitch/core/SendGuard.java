package dunlinhitch.core;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;

/**
 * The last check of each attempt before it is sent. The load balancer keeps these rules itself; the
 * guard holds should it fail to, for a single violation voids a whole test day.
 */
final class SendGuard {
  private final TurnContext context;
  private final InFlightRegistry registry;

  SendGuard(TurnContext context, InFlightRegistry registry) {
    this.context = context;
    this.registry = registry;
  }

  /**
   * Why an attempt for that part must not be sent to that endpoint, or null.
   *
   * @param endpoint null where no endpoint has the number that the load balancer gave
   */
  String reasonToBlock(InFlightPart part, TrackedEndpoint endpoint) {
    String reason = reasonOfPart(part);
    if (reason == null) {
      reason = reasonOfEndpoint(part, endpoint);
    }
    return reason == null ? reasonOfRepetition(part) : reason;
  }

  private String reasonOfPart(InFlightPart part) {
    if (part.closed || part.query.request.deadlineUs() <= context.nowUs()) {
      return "its query is over";
    }
    Settings settings = context.settings();
    int limit = Math.min(settings.limits().maxAttempts(), part.query.attemptLimit);
    if (part.inFirstPass) {
      limit--; // one is reserved for the full pass
    }
    if (part.firstPassAttempts + part.attemptsStarted >= limit) {
      return "it had all its attempts";
    }
    if (part.attemptsInFlight + part.unconfirmedAttempts > 0
        && !settings.limits().parallelAttempts()) {
      return "an endpoint may have another attempt";
    }
    return null;
  }

  private String reasonOfEndpoint(InFlightPart part, TrackedEndpoint endpoint) {
    if (endpoint == null || rejectsNewAttempts(endpoint)) {
      return "the store takes nothing new";
    }
    if (registry.isDisabled(endpoint)) {
      return "the store is out by hand";
    }
    if (part.inFirstPass && endpoint.endpoint.phases() < 2) {
      return "the store knows no first pass";
    }
    Settings settings = context.settings();
    int cells = settings.layout().cells();
    int cellOffset = Math.floorMod(endpoint.endpoint.cell() - part.request.shard(), cells);
    return cellOffset >= settings.layout().replicationFactor()
        ? "the store does not hold its shard"
        : null;
  }

  private String reasonOfRepetition(InFlightPart part) {
    if (part.earliestExecutionUs < 0) {
      return null;
    }
    QueryClass queryClass = part.query.request.queryClass();
    boolean windowOver =
        queryClass.idempotency() == Idempotency.GUARDED
            && context.nowUs() > part.earliestExecutionUs + queryClass.dedupWindowUs();
    return windowOver || queryClass.idempotency() == Idempotency.SINGLE_SHOT
        ? "it may have run"
        : null;
  }

  /** True for an endpoint that has left, is withdrawn, or drains beyond its grace period. */
  boolean rejectsNewAttempts(TrackedEndpoint endpoint) {
    return endpoint.state() == ServerState.GONE
        || endpoint.state() == ServerState.WITHDRAWN
        || (endpoint.state() == ServerState.DRAINING
            && context.nowUs()
                >= endpoint.stateNotifiedUs + context.settings().rules().drainGraceUs());
  }
}
