package dunlinhitch.endpoints;

import java.util.Comparator;

/**
 * An active claim: a source's current description of an endpoint under one key.
 *
 * <p>Not thread-safe; owned by the registry. {@link ClaimTable} writes the content of the claim,
 * {@link ClaimExpiry} its expiry.
 */
final class ActiveClaim {
  /**
   * Orders claims by precedence: unexpired claims before stale ones, then by the rank of the
   * source, then from the oldest to the newest. The source name and the key make the order total.
   */
  static final Comparator<ActiveClaim> PRECEDENCE =
      Comparator.<ActiveClaim>comparingInt(claim -> claim.stale ? 1 : 0)
          .thenComparingInt(claim -> claim.source.rank)
          .thenComparingLong(claim -> claim.sinceUs)
          .thenComparing(claim -> claim.source.name)
          .thenComparing(claim -> claim.key);

  final ClaimSource source;
  final String key;
  final EndpointRecord owner;

  /**
   * Whether the claim arrived after the first complete list of its source. If so, the endpoint has
   * just been started.
   */
  final boolean arrivedAfterInitialList;

  /** The claimed endpoint; null until {@link ClaimTable} sets the first content. */
  Endpoint endpoint;

  /** The time at which the claim got its current content. */
  long sinceUs;

  /** The time at which the source last reported the claim. */
  long reportedUs;

  /**
   * The time at which the claim expires unless the source reports it again, or {@link
   * TimingWheel#NEVER}.
   */
  long expiresUs;

  /** Whether the claim has expired but is retained, because its source may be unavailable. */
  boolean stale;

  /** The pending expiry timer, or null. */
  TimingWheel.Handle<Runnable> expiryTimer;

  ActiveClaim(ClaimSource source, String key, EndpointRecord owner) {
    this.source = source;
    this.key = key;
    this.owner = owner;
    arrivedAfterInitialList = source.initialListReceived;
  }
}
