package dunlinhitch.endpoints;

import dunlinhitch.balancer.ServerState;

/**
 * Determines the change to publish from the state of an endpoint, and records the published state.
 *
 * <p>Not thread-safe; owned by the registry.
 */
final class ChangePublisher {
  private final ClaimEvaluator evaluator;

  ChangePublisher(ClaimEvaluator evaluator) {
    this.evaluator = evaluator;
  }

  /** Returns the change since the last call for this endpoint, or null if there is none. */
  EndpointChange publish(EndpointRecord endpoint) {
    Evaluation evaluation = evaluator.evaluate(endpoint);
    boolean announced;
    Endpoint next;
    if (evaluation == null) {
      announced = endpoint.lastWithdrawal != null && !endpoint.lastWithdrawal.source().trusted;
      next = withdrawn(endpoint);
    } else {
      announced = !evaluation.claim().source.trusted;
      updateStandInStatus(endpoint, evaluation);
      next = claimed(endpoint, evaluation, announced);
    }
    boolean endpointChanged = next != null && !next.equals(endpoint.published);
    boolean changed = endpointChanged || endpoint.publishedStatus != endpoint.status;
    endpoint.published = endpoint.status == EndpointStatus.GONE ? null : next;
    if (!changed) {
      return null;
    }
    endpoint.publishedStatus = endpoint.status;
    return next == null
        ? null
        : new EndpointChange(next, endpoint.status, endpoint.reason, endpointChanged, announced);
  }

  private static Endpoint withdrawn(EndpointRecord endpoint) {
    if (endpoint.published == null) {
      return null;
    }
    return endpoint.published.withState(
        endpoint.status == EndpointStatus.WITHDRAWN ? ServerState.WITHDRAWN : ServerState.GONE);
  }

  private static void updateStandInStatus(EndpointRecord endpoint, Evaluation evaluation) {
    if (endpoint.coveredPositions > 0) {
      endpoint.status = EndpointStatus.STANDING_IN;
    } else if (endpoint.status == EndpointStatus.STANDING_IN) {
      // The endpoint is no longer needed as a substitute.
      endpoint.status =
          evaluation.status() == EndpointStatus.DISPUTED
              ? EndpointStatus.DISPUTED
              : EndpointStatus.ANNOUNCED;
    }
  }

  private static Endpoint claimed(
      EndpointRecord endpoint, Evaluation evaluation, boolean announced) {
    if (!endpoint.status.usesClaimedState()) {
      return evaluation.endpoint().withState(ServerState.WITHDRAWN);
    }
    if (!announced) {
      return evaluation.endpoint();
    }
    Endpoint serving = evaluation.endpoint().withStart(processStartUs(endpoint, evaluation));
    endpoint.lastServing = serving;
    return serving;
  }

  /**
   * Infers the start time of the endpoint's process. This is the claimed start time, except in two
   * cases, in which the time of the claim is used. In the first case, the endpoint has moved to
   * another address without claiming a later start time, so it must be a new process. In the second
   * case, it claims no start time and appeared after the source's first complete list, so it has
   * just been started.
   */
  private static long processStartUs(EndpointRecord endpoint, Evaluation evaluation) {
    long claimedUs = evaluation.endpoint().startedUs();
    ActiveClaim claim = evaluation.claim();
    Endpoint previous = endpoint.lastServing;
    if (previous == null) {
      return claimedUs == 0 && claim.arrivedAfterInitialList ? claim.sinceUs : claimedUs;
    }
    boolean moved = !previous.sameAddress(evaluation.endpoint());
    boolean restartClaimed = claimedUs > previous.startedUs();
    if (moved && !restartClaimed) {
      return Math.max(claim.sinceUs, claimedUs);
    }
    return claimedUs == 0 ? previous.startedUs() : claimedUs;
  }
}
