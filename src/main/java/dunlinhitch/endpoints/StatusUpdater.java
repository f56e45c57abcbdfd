package dunlinhitch.endpoints;

import dunlinhitch.balancer.ServerState;
import java.util.Set;

/**
 * Updates the status of endpoints according to the evaluation of their claims, flap damping and
 * timers.
 *
 * <p>Not thread-safe; owned by the registry.
 */
final class StatusUpdater {
  private final EndpointRegistrySettings settings;
  private final RegistryTimers timers;
  private final ClaimTable claims;
  private final AddressIndex addresses;
  private final ShardCoverage coverage;
  private final FlapDamping damping;

  /** The endpoints to reevaluate; this set is shared with the registry. */
  private final Set<EndpointRecord> pending;

  StatusUpdater(
      EndpointRegistrySettings settings,
      RegistryTimers timers,
      ClaimTable claims,
      AddressIndex addresses,
      ShardCoverage coverage,
      Set<EndpointRecord> pending) {
    this.settings = settings;
    this.timers = timers;
    this.claims = claims;
    this.addresses = addresses;
    this.coverage = coverage;
    this.pending = pending;
    damping = new FlapDamping(settings);
  }

  /** Updates the status of an endpoint that has at least one claim that counts. */
  void onClaimed(EndpointRecord endpoint, Evaluation evaluation) {
    long nowUs = timers.nowUs();
    timers.cancel(endpoint.timer);
    if (endpoint.status == EndpointStatus.WITHDRAWN) {
      damping.onReturn(endpoint.flaps, nowUs);
    }
    EndpointStatus status = evaluation.status();
    StatusReason reason = evaluation.reason();
    if (status != EndpointStatus.DISPUTED && damping.isSuppressed(endpoint.flaps, nowUs)) {
      endpoint.timer =
          timers.schedule(endpoint.flaps.suppressedUntilUs, () -> pending.add(endpoint));
      status = EndpointStatus.ANNOUNCED;
      reason = StatusReason.FLAPPING;
    }
    boolean claimsConflict =
        status == EndpointStatus.DISPUTED && reason != StatusReason.SHARED_ADDRESS;
    if (claimsConflict || evaluation.claim().source.trusted) {
      addresses.remove(endpoint);
    }
    endpoint.status = status;
    endpoint.reason = reason;
    updateCoverage(endpoint, evaluation);
  }

  private void updateCoverage(EndpointRecord endpoint, Evaluation evaluation) {
    int cell = Math.floorMod(evaluation.endpoint().cell(), settings.cells());
    boolean serving =
        endpoint.status == EndpointStatus.LIVE || endpoint.status == EndpointStatus.STALE;
    coverage.setServing(endpoint, serving ? cell : EndpointRecord.NO_CELL);
    if (mayStandIn(endpoint) && evaluation.endpoint().state() == ServerState.READY) {
      coverage.setStandby(endpoint, cell, evaluation.claim().sinceUs);
    } else {
      coverage.clearStandby(endpoint);
    }
  }

  private static boolean mayStandIn(EndpointRecord endpoint) {
    return switch (endpoint.status) {
      case ANNOUNCED -> true;
      case DISPUTED -> endpoint.reason != StatusReason.CELL_CONFLICT;
      default -> false;
    };
  }

  /** Updates the status of an endpoint that has no claim that counts. */
  void onUnclaimed(EndpointRecord endpoint) {
    addresses.remove(endpoint);
    coverage.setServing(endpoint, EndpointRecord.NO_CELL);
    coverage.clearStandby(endpoint);
    if (endpoint.status == EndpointStatus.WITHDRAWN) {
      // The linger timer is still pending.
      return;
    }
    timers.cancel(endpoint.timer);
    boolean wasListed = endpoint.status != EndpointStatus.GONE;
    if (wasListed) {
      endpoint.reason = endpoint.lastWithdrawal.reason();
    }
    if (endpoint.lastWithdrawal.source().trusted) {
      remove(endpoint);
      claims.forgetUnclaimed(endpoint);
    } else if (wasListed) {
      linger(endpoint);
    } else {
      rememberFlaps(endpoint);
    }
  }

  /**
   * Withdraws an endpoint and remembers it for the linger time, in case the same process returns.
   */
  private void linger(EndpointRecord endpoint) {
    long nowUs = timers.nowUs();
    endpoint.status = EndpointStatus.WITHDRAWN;
    damping.onWithdrawal(endpoint.flaps, nowUs);
    endpoint.timer = timers.schedule(nowUs + settings.lingerUs(), () -> onLingerEnded(endpoint));
  }

  private void onLingerEnded(EndpointRecord endpoint) {
    remove(endpoint);
    pending.add(endpoint);
  }

  private static void remove(EndpointRecord endpoint) {
    endpoint.status = EndpointStatus.GONE;
    endpoint.lastServing = null;
  }

  /** Retains the flap history of a removed endpoint for one stable period. */
  private void rememberFlaps(EndpointRecord endpoint) {
    long forgetUs = timers.nowUs() + settings.stablePeriodUs();
    endpoint.timer = timers.schedule(forgetUs, () -> claims.forgetUnclaimed(endpoint));
  }
}
