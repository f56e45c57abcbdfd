package dunlinhitch.endpoints;

import java.util.Comparator;

/**
 * One claim in force: what a source says of an endpoint under one key.
 *
 * <p>Not thread-safe; the registry owns it. {@link ClaimTable} writes its content, {@link
 * ClaimExpiry} its expiry.
 */
final class ActiveClaim {
  /**
   * Precedence of claims: unexpired before stale, then the rank of the source, then age; source
   * name and key make the order total.
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

  /** It arrived after the source's complete list: the endpoint itself is new. */
  final boolean arrivedAfterInitialList;

  /** The claimed endpoint; null only until the first content is set. */
  Endpoint endpoint;

  /** Since when the claim has this content. */
  long sinceUs;

  /** When the source reported the claim last. */
  long reportedUs;

  /** When the claim expires unless it is reported again, or {@link TimingWheel#NEVER}. */
  long expiresUs;

  /** It has expired and is retained because its source may be unavailable. */
  boolean stale;

  /** The pending expiry; null: none. */
  TimingWheel.Handle<Runnable> expiryTimer;

  ActiveClaim(ClaimSource source, String key, EndpointRecord owner) {
    this.source = source;
    this.key = key;
    this.owner = owner;
    arrivedAfterInitialList = source.initialListReceived;
  }
}
