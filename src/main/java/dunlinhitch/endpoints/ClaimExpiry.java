package dunlinhitch.endpoints;

import java.util.Set;
import java.util.function.Consumer;

/**
 * Handles the expiry of claims. A claim that is not renewed in time becomes stale, and is removed
 * when it has been stale for the configured time.
 *
 * <p>Not thread-safe; owned by {@link ClaimTable}.
 */
final class ClaimExpiry {
  private final RegistryTimers timers;
  private final long staleForUs;

  /** The endpoints to reevaluate; this set is shared with the registry. */
  private final Set<EndpointRecord> pending;

  private final Consumer<ActiveClaim> onExpired;

  /**
   * Creates an instance without claims; {@code onExpired} receives each claim that has been stale
   * for {@code staleForUs}.
   */
  ClaimExpiry(
      RegistryTimers timers,
      long staleForUs,
      Set<EndpointRecord> pending,
      Consumer<ActiveClaim> onExpired) {
    this.timers = timers;
    this.staleForUs = staleForUs;
    this.pending = pending;
    this.onExpired = onExpired;
  }

  /** Sets or renews the expiry of a claim; {@code expiresUs} may be in the past. */
  void renew(ActiveClaim claim, long expiresUs) {
    claim.expiresUs = expiresUs;
    cancel(claim);
    boolean stale = expiresUs <= timers.nowUs();
    if (claim.stale != stale) {
      claim.stale = stale;
      pending.add(claim.owner);
    }
    if (expiresUs == TimingWheel.NEVER) {
      return;
    }
    claim.expiryTimer =
        stale
            ? timers.schedule(expiresUs + staleForUs, () -> onExpired.accept(claim))
            : timers.schedule(expiresUs, () -> renew(claim, expiresUs));
  }

  /** Cancels the expiry of a claim. */
  void cancel(ActiveClaim claim) {
    timers.cancel(claim.expiryTimer);
    claim.expiryTimer = null;
  }
}
