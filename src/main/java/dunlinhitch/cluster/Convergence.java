package dunlinhitch.cluster;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks whether the cluster has converged: which members announced the same digest as this broker,
 * and which another, since its own digest last changed.
 *
 * <p>Not thread-safe; owned by {@link MembershipProtocol}. Times are in microseconds.
 */
final class Convergence {
  /** Members with another digest that are tracked at most. */
  private static final int MAX_DIVERGED = 32;

  /** In place of the time since when the cluster has converged. */
  static final long NOT_CONVERGED = -1;

  private final Set<String> matching = new HashSet<>();

  /** For each member with another digest when that was noticed, or when it was last compared. */
  private final Map<String, Long> diverged = new LinkedHashMap<>();

  private long convergedSinceUs = NOT_CONVERGED;

  /** Starts anew: this broker's own digest changed. */
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
   * @param requiredMatches the matching members for the cluster to count as converged
   * @param nowUs the current time
   * @return true where the state that {@link ClusterSnapshot} shows changed
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

  /** Forgets a member that takes part no more. */
  void remove(String name) {
    matching.remove(name);
    diverged.remove(name);
  }

  /** Evaluates the state anew; true where the cluster converged or ceased to be so. */
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
   * The member that has differed longest, if that is {@code minimumUs} or more; it is not returned
   * again before as long has passed.
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

  /** The members that announced another digest; a live view. */
  Set<String> divergedMembers() {
    return diverged.keySet();
  }

  /** Since when the cluster has converged; negative where it has not. */
  long convergedSinceUs() {
    return convergedSinceUs;
  }
}
