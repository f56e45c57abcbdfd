package dunlinhitch.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A registered source of claims, with its active claims.
 *
 * <p>Not thread-safe; owned by the registry.
 */
final class ClaimSource {
  final String name;

  /**
   * The rank of the source. Of two sources in conflict, the one with the lower rank takes
   * precedence.
   */
  final int rank;

  /**
   * Whether the claims of the source are exempt from linger, flap damping and address conflicts.
   */
  final boolean trusted;

  /** The active claims by key, in the order of their arrival. */
  final Map<String, ActiveClaim> claims = new LinkedHashMap<>();

  /**
   * Whether the source has sent a complete list. An endpoint that appears afterwards has just
   * started, whereas an endpoint on the first list may have been running for a long time.
   */
  boolean initialListReceived;

  /** Whether the source is unavailable. If so, its claims stay active until they expire. */
  boolean unavailable;

  ClaimSource(String name, int rank, boolean trusted) {
    this.name = name;
    this.rank = rank;
    this.trusted = trusted;
  }
}
