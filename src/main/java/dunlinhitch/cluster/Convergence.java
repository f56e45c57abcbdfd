package dunlinhitch.cluster;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks whether the cluster has converged. Since the last change of this broker's digest, records
 * which members have announced the same digest as this broker and which have announced a different
 * digest.
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
   * The members with a different digest. The value is the time of the last comparison by bucket or,
   * before the first comparison, the time at which the difference was detected.
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
   * @param matches whether the announced digest is equal to this broker's
   * @param requiredMatches the number of matching members at which the cluster counts as converged
   * @param nowUs the current time
   * @return true if a value that is part of {@link ClusterSnapshot} has changed
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

  /** Removes a member that died or left. */
  void remove(String name) {
    matching.remove(name);
    diverged.remove(name);
  }

  /** Determines whether the cluster is converged; returns true if this has changed. */
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
   * Returns the member whose digest has differed for the longest time, if that time is at least
   * {@code minimumUs}. The same member is returned again after another {@code minimumUs} at the
   * earliest.
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

  /** The time since which the cluster has been converged; {@link #NOT_CONVERGED} if it is not. */
  long convergedSinceUs() {
    return convergedSinceUs;
  }
}
