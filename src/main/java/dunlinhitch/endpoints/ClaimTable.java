package dunlinhitch.endpoints;

import dunlinhitch.balancer.ServerState;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The active claims and the endpoints that they describe. Every change marks the affected endpoint
 * for reevaluation.
 *
 * <p>Not thread-safe; owned by the registry.
 */
final class ClaimTable {
  private final EndpointRegistrySettings settings;
  private final RegistryTimers timers;
  private final ClaimExpiry expiry;
  private final Map<String, EndpointRecord> endpoints = new LinkedHashMap<>();

  /** The endpoints to reevaluate; this set is shared with the registry. */
  private final Set<EndpointRecord> pending;

  private long rejected;

  ClaimTable(
      EndpointRegistrySettings settings, RegistryTimers timers, Set<EndpointRecord> pending) {
    this.settings = settings;
    this.timers = timers;
    this.pending = pending;
    expiry =
        new ClaimExpiry(
            timers,
            settings.staleForUs(),
            pending,
            claim -> withdraw(claim, StatusReason.CLAIM_EXPIRED));
  }

  /** The endpoints that have claims or a retained history, in the order of their first claims. */
  Collection<EndpointRecord> endpoints() {
    return Collections.unmodifiableCollection(endpoints.values());
  }

  /** The number of claims that were rejected since the start. */
  long rejected() {
    return rejected;
  }

  /**
   * Applies a claim or its withdrawal. An update that is older than the active claim with the same
   * key is ignored.
   */
  void apply(ClaimSource source, EndpointClaim update) {
    ActiveClaim current = source.claims.get(update.key());
    if (current != null && update.reportedUs() < current.reportedUs) {
      return;
    }
    Endpoint endpoint = update.endpoint();
    boolean ended = endpoint == null || endpoint.state() == ServerState.GONE;
    boolean rejects = !ended && isRejected(source, endpoint);
    if (rejects) {
      rejected++;
    }
    if (ended || rejects) {
      // Even a rejected claim ends the previous claim with the same key.
      withdrawIfPresent(current);
      return;
    }
    if (current != null && !current.owner.name.equals(endpoint.name())) {
      withdraw(current, StatusReason.WITHDRAWN_BY_SOURCE);
      current = null;
    }
    setContent(current == null ? add(source, update) : current, update);
  }

  /** Ends a claim. */
  void withdraw(ActiveClaim claim, StatusReason reason) {
    expiry.cancel(claim);
    claim.source.claims.remove(claim.key, claim);
    EndpointRecord endpoint = claim.owner;
    endpoint.claims.remove(claim);
    pending.add(endpoint);
    if (!endpoint.isClaimedBy(claim.source)) {
      endpoint.lastWithdrawal =
          new Withdrawal(timers.nowUs(), claim.source, reason, claim.endpoint);
    }
  }

  /**
   * Handles the removal of a source. Claims of other sources count again if a withdrawal by this
   * source had overruled them.
   */
  void onSourceRemoved(ClaimSource source) {
    for (EndpointRecord endpoint : endpoints.values()) {
      Withdrawal withdrawal = endpoint.lastWithdrawal;
      if (withdrawal != null
          && withdrawal.source() == source
          && withdrawal.reason() == StatusReason.WITHDRAWN_BY_SOURCE) {
        endpoint.lastWithdrawal = withdrawal.withSourceRemoved();
        pending.add(endpoint);
      }
    }
  }

  /** Removes an endpoint, unless it is claimed again. */
  void forgetUnclaimed(EndpointRecord endpoint) {
    if (endpoint.claims.isEmpty()) {
      endpoints.remove(endpoint.name, endpoint);
    }
  }

  private boolean isRejected(ClaimSource source, Endpoint endpoint) {
    if (endpoint.state() == ServerState.WITHDRAWN) {
      return true;
    }
    if (!source.trusted && endpoint.cell() >= settings.cells()) {
      return true;
    }
    return !endpoints.containsKey(endpoint.name()) && endpoints.size() >= settings.maxEndpoints();
  }

  private void withdrawIfPresent(ActiveClaim claim) {
    if (claim != null) {
      withdraw(claim, StatusReason.WITHDRAWN_BY_SOURCE);
    }
  }

  private ActiveClaim add(ClaimSource source, EndpointClaim update) {
    EndpointRecord endpoint =
        endpoints.computeIfAbsent(update.endpoint().name(), EndpointRecord::new);
    ActiveClaim claim = new ActiveClaim(source, update.key(), endpoint);
    endpoint.claims.add(claim);
    source.claims.put(claim.key, claim);
    return claim;
  }

  private void setContent(ActiveClaim claim, EndpointClaim update) {
    if (!update.endpoint().equals(claim.endpoint)) {
      claim.endpoint = update.endpoint();
      claim.sinceUs = update.reportedUs();
      pending.add(claim.owner);
    }
    claim.reportedUs = update.reportedUs();
    expiry.renew(claim, update.expiresUs());
  }
}
