package dunlinhitch.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A registered source of claims, and its claims that are in force.
 *
 * <p>Not thread-safe; the registry owns it.
 */
final class ClaimSource {
  final String name;

  /** Precedence: of two conflicting sources the one of the lower rank wins. */
  final int rank;

  /** Its claims are taken as they are: no linger, no flap damping, no address conflicts. */
  final boolean trusted;

  /** Claims in force by their key, in the order of their arrival. */
  final Map<String, ActiveClaim> claims = new LinkedHashMap<>();

  /**
   * It has sent a complete list, so that an endpoint which appears later is new, and not only new
   * to this process.
   */
  boolean initialListReceived;

  /** It does not answer; its claims stay in force until they expire. */
  boolean unavailable;

  ClaimSource(String name, int rank, boolean trusted) {
    this.name = name;
    this.rank = rank;
    this.trusted = trusted;
  }
}
