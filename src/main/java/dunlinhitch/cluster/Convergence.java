package dunlinhitch.cluster;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks whether the cluster has converged: which members announced the same digest as this broker
 * and which a different one, since its own digest last changed.
 *
 * <p>Not thread-safe; owned by {@link MembershipProtocol}. Times are in microseconds.
 */
final class Convergence {
  /** The maximum number of tracked members with a different digest. */
  private static final int MAX_DIVERGED = 32;

  /** The value of {@link #convergedSinceUs()} while the cluster is not converged. */
  static final long NOT_CONVERGED = -1;

  private final Set<String> matching = new HashSet<>();

  /**
   * The members with a different digest, each with the time at which the difference was noticed or
   * last compared.
   */
  private final Map<String, Long> diverged = new LinkedHashMap<>();

  private long convergedSinceUs = NOT_CONVERGED;

  /** Resets the state after a change of this broker's own digest. */
  void reset() {
    matching.clear();
    diverged.clear();
    convergedSinceUs = NOT_CONVERGED;
  }

  /**
   * Handles the digest that a member announced.
   *
   * @param name the member
   * @param matches whether it is this broker's digest
   * @param requiredMatches the number of matching members at which the cluster counts as converged
   * @param nowUs the current time
   * @return true if state that a {@link ClusterSnapshot} includes has changed
   */
  boolean onDigest(String name, boolean matches, int requiredMatches, long nowUs) {
    if (!matches) {
      matching.remove(name);
      convergedSinceUs = NOT_CONVERGED;
      return diverged.size() < MAX_DIVERGED && diverged.putIfAbsent(name, nowUs) == null;
    }
    boolean wasDiverged = diverged.remove(name) != null;
    if (matching.size() < requiredMatches) {
      matching.add(name);
    }
    return update(requiredMatches, nowUs) || wasDiverged;
  }

  /** Removes a member that no longer takes part. */
  void remove(String name) {
    matching.remove(name);
    diverged.remove(name);
  }

  /** Reevaluates the state; returns true if the cluster has converged or is no longer converged. */
  boolean update(int requiredMatches, long nowUs) {
    boolean converged = diverged.isEmpty() && matching.size() >= requiredMatches;
    boolean wasConverged = convergedSinceUs >= 0;
    if (converged == wasConverged) {
      return false;
    }
    convergedSinceUs = converged ? nowUs : NOT_CONVERGED;
    return true;
  }

  /**
   * Returns the member whose digest has differed longest, if that is at least {@code minimumUs};
   * the same member is returned again only after another {@code minimumUs}.
   */
  Optional<String> nextToCompare(long nowUs, long minimumUs) {
    for (Map.Entry<String, Long> entry : diverged.entrySet()) {
      if (nowUs - entry.getValue() >= minimumUs) {
        String name = entry.getKey();
        diverged.remove(name);
        diverged.put(name, nowUs);
        return Optional.of(name);
      }
    }
    return Optional.empty();
  }

  /** The members that announced a different digest; a live view. */
  Set<String> divergedMembers() {
    return diverged.keySet();
  }

  /** Since when the cluster has been converged; negative if it is not. */
  long convergedSinceUs() {
    return convergedSinceUs;
  }
}
