package dunlinhitch.endpoints;

import java.util.Comparator;

/**
 * A claim in force: the description of an endpoint by a source, under one key.
 *
 * <p>Not thread-safe; owned by the registry. Its content is written by {@link ClaimTable}, its
 * expiry by {@link ClaimExpiry}.
 */
final class ActiveClaim {
  /**
   * Orders claims by precedence: unexpired before stale ones, then by the rank of the source, then
   * the oldest first. Source name and key make the order total.
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
   * Whether it arrived after the source's complete list, which means that the endpoint itself is
   * new.
   */
  final boolean arrivedAfterInitialList;

  /** The claimed endpoint; null only until the first content is set. */
  Endpoint endpoint;

  /** When the claim got its current content. */
  long sinceUs;

  /** When the source last reported the claim. */
  long reportedUs;

  /** When the claim expires unless it is reported again, or {@link TimingWheel#NEVER}. */
  long expiresUs;

  /** Whether it has expired and is retained because its source may be unavailable. */
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
