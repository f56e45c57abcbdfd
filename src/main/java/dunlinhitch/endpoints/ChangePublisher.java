package dunlinhitch.endpoints;

import dunlinhitch.balancer.ServerState;

/**
 * Derives the change to publish from the state of an endpoint, and keeps what was published last.
 *
 * <p>Not thread-safe; the registry owns it.
 */
final class ChangePublisher {
  private final ClaimEvaluator evaluator;

  ChangePublisher(ClaimEvaluator evaluator) {
    this.evaluator = evaluator;
  }

  /** The change since the last call for this endpoint, or null where there is none. */
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
    } else if (endpoint.status == EndpointStatus.STANDING_IN) { // others serve again
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
   * When the process started, as far as can be inferred: as claimed; at the time of the claim where
   * it serves at another address than before without a later start, for that is another process; at
   * the time of the claim where no start is claimed and the endpoint appeared after the source's
   * complete list.
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
