package dunlinhitch.cluster;

/**
 * The local health multiplier of Lifeguard (Dadgar, Phillips and Currey, 2017): a broker that
 * receives messages late would declare healthy members dead, so it stretches its timeouts. In
 * contrast to the paper, a helper that does not answer a ping-req does not raise the score: if most
 * of a cluster has died, the helpers are dead too.
 *
 * <p>Not thread-safe; owned by {@link MembershipProtocol}.
 */
final class LocalHealth {
  private final int maximumScore;
  private int score;

  /** Creates the multiplier; a {@code maximumScore} of 0 disables it. */
  LocalHealth(int maximumScore) {
    this.maximumScore = maximumScore;
  }

  /** Raises the score, because this broker itself appears to be slow. */
  void degrade(long by) {
    score = (int) Math.min(maximumScore, score + by);
  }

  /** Lowers the score by one after an ack that arrived in time. */
  void improve() {
    score = Math.max(0, score - 1);
  }

  /** The score; 0 means that this broker is healthy. */
  int score() {
    return score;
  }

  /** A timeout in microseconds, stretched by the score. */
  long scale(long timeoutUs) {
    return timeoutUs * (1 + score);
  }
}
