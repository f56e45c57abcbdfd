package dunlinhitch.endpoints;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A registered source of claims, and its claims in force.
 *
 * <p>Not thread-safe; owned by the registry.
 */
final class ClaimSource {
  final String name;

  /** The precedence: of two conflicting sources the one with the lower rank wins. */
  final int rank;

  /** Whether its claims are exempt from linger, flap damping and address conflicts. */
  final boolean trusted;

  /** Claims in force by their key, in the order of their arrival. */
  final Map<String, ActiveClaim> claims = new LinkedHashMap<>();

  /**
   * Whether it has sent a complete list. An endpoint that appears later has just started, whereas
   * one on that list may have run for long.
   */
  boolean initialListReceived;

  /** Whether it does not answer; if so, its claims stay in force until they expire. */
  boolean unavailable;

  ClaimSource(String name, int rank, boolean trusted) {
    this.name = name;
    this.rank = rank;
    this.trusted = trusted;
  }
}
