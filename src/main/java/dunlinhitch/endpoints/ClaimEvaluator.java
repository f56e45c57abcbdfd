package dunlinhitch.endpoints;

import dunlinhitch.balancer.ServerState;
import java.util.List;

/**
 * Combines the claims on one endpoint into one result.
 *
 * <p>Not thread-safe; owned by the registry.
 */
final class ClaimEvaluator {
  private final AddressIndex addresses;

  ClaimEvaluator(AddressIndex addresses) {
    this.addresses = addresses;
  }

  /**
   * Returns the combined result of the claims that count, or null if no claim counts. Adds the
   * endpoint's address to the index if the claims agree and are not from a trusted source.
   */
  Evaluation evaluate(EndpointRecord endpoint) {
    List<ActiveClaim> claims =
        endpoint.claims.stream()
            .filter(claim -> counts(endpoint.lastWithdrawal, claim))
            .sorted(ActiveClaim.PRECEDENCE)
            .toList();
    if (claims.isEmpty()) {
      return null;
    }
    ActiveClaim first = claims.get(0);
    Endpoint merged = first.endpoint;
    StatusReason conflict = null;
    for (ActiveClaim claim : claims) {
      if (claim.stale != first.stale || claim.source.rank != first.source.rank) {
        break;
      }
      conflict =
          ClaimConflicts.moreSevere(conflict, ClaimConflicts.between(merged, claim.endpoint));
      merged = merge(merged, claim.endpoint);
    }
    if (conflict == null && !first.source.trusted) {
      addresses.put(endpoint, merged.host() + ":" + merged.port());
      conflict = addresses.isShared(endpoint) ? StatusReason.SHARED_ADDRESS : null;
    }
    if (conflict != null) {
      return new Evaluation(first, merged, EndpointStatus.DISPUTED, conflict);
    }
    return withoutConflict(first, merged);
  }

  private static Endpoint merge(Endpoint merged, Endpoint other) {
    Endpoint result =
        other.state() == ServerState.DRAINING ? merged.withState(ServerState.DRAINING) : merged;
    return result.startedUs() == 0 ? result.withStart(other.startedUs()) : result;
  }

  private static Evaluation withoutConflict(ActiveClaim claim, Endpoint endpoint) {
    if (endpoint.state() == ServerState.DRAINING) {
      return new Evaluation(claim, endpoint, EndpointStatus.DRAINING, StatusReason.DRAINING);
    }
    if (claim.stale) {
      return new Evaluation(claim, endpoint, EndpointStatus.STALE, StatusReason.STALE_CLAIM);
    }
    return new Evaluation(claim, endpoint, EndpointStatus.LIVE, StatusReason.CLAIMED);
  }

  /**
   * Whether a claim counts. A later withdrawal of the endpoint by another source overrules the
   * claim in two cases: if that source has higher precedence, or if it has equal precedence and had
   * made an equal claim. If two sources of equal precedence made different claims and one of them
   * withdraws the endpoint, the conflict is resolved and the claim of the other source counts.
   */
  private static boolean counts(Withdrawal withdrawal, ActiveClaim claim) {
    if (withdrawal == null
        || claim.source == withdrawal.source()
        || claim.source.rank < withdrawal.source().rank
        || claim.sinceUs >= withdrawal.atUs()
        || withdrawal.reason() != StatusReason.WITHDRAWN_BY_SOURCE) {
      return true;
    }
    return claim.source.rank == withdrawal.source().rank
        && ClaimConflicts.between(claim.endpoint, withdrawal.endpoint()) != null;
  }
}
