package dunlinhitch.core;

import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;

/**
 * Checks each attempt immediately before it is sent. The load balancer follows the same rules; the
 * guard enforces them independently, because a single attempt that violates them can execute a
 * request twice or reach an endpoint that must not receive it. Owned by the reducer; not
 * thread-safe.
 */
final class SendGuard {
  private final TurnContext context;
  private final InFlightRegistry registry;

  SendGuard(TurnContext context, InFlightRegistry registry) {
    this.context = context;
    this.registry = registry;
  }

  /**
   * Returns why an attempt of the part must not be sent to the endpoint, or null if it may be sent.
   *
   * @param endpoint null if no endpoint has the number given by the load balancer
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
      return "the query has ended or its deadline has passed";
    }
    Settings settings = context.settings();
    int limit = Math.min(settings.limits().maxAttempts(), part.query.attemptLimit);
    if (part.inFirstPass) {
      // One attempt is reserved for the full pass.
      limit--;
    }
    if (part.firstPassAttempts + part.attemptsStarted >= limit) {
      return "the limit of " + limit + " attempts for the part is reached";
    }
    if (part.attemptsInFlight + part.unconfirmedAttempts > 0
        && !settings.limits().parallelAttempts()) {
      return "another attempt of the part may still be executing and parallel attempts are not allowed";
    }
    return null;
  }

  private String reasonOfEndpoint(InFlightPart part, TrackedEndpoint endpoint) {
    if (endpoint == null || rejectsNewAttempts(endpoint)) {
      return "the store is unknown, removed or withdrawn, or its drain grace period has expired";
    }
    if (registry.isDisabled(endpoint)) {
      return "the store is administratively disabled";
    }
    if (part.inFirstPass && endpoint.endpoint.phases() < 2) {
      return "the store does not support first passes";
    }
    Settings settings = context.settings();
    int cells = settings.layout().cells();
    int cellOffset = Math.floorMod(endpoint.endpoint.cell() - part.request.shard(), cells);
    return cellOffset >= settings.layout().replicationFactor()
        ? "the store has no replica of the part's shard"
        : null;
  }

  private String reasonOfRepetition(InFlightPart part) {
    if (part.earliestExecutionUs < 0) {
      return null;
    }
    QueryClass queryClass = part.query.request.queryClass();
    boolean windowExpired =
        queryClass.idempotency() == Idempotency.GUARDED
            && context.nowUs() > part.earliestExecutionUs + queryClass.dedupWindowUs();
    return windowExpired || queryClass.idempotency() == Idempotency.SINGLE_SHOT
        ? "an earlier attempt may have been executed, and the query class does not allow a retry now"
        : null;
  }

  /** True for an endpoint that is removed, withdrawn, or draining with its grace period expired. */
  boolean rejectsNewAttempts(TrackedEndpoint endpoint) {
    return endpoint.state() == ServerState.GONE
        || endpoint.state() == ServerState.WITHDRAWN
        || (endpoint.state() == ServerState.DRAINING
            && context.nowUs()
                >= endpoint.stateNotifiedUs + context.settings().rules().drainGraceUs());
  }
}
