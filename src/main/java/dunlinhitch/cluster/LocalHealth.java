package dunlinhitch.cluster;

/**
 * The local health multiplier of Lifeguard (Dadgar, Phillips and Currey, 2017): a broker that
 * receives messages late would take healthy members for dead, so it stretches its timeouts. Unlike
 * there, a helper that does not answer a ping-req does not count by itself: where most of a cluster
 * has died, it is the helpers that are dead.
 *
 * <p>Not thread-safe; owned by {@link MembershipProtocol}.
 */
final class LocalHealth {
  private final int maximumScore;
  private int score;

  /** {@code maximumScore}: 0 switches the multiplier off. */
  LocalHealth(int maximumScore) {
    this.maximumScore = maximumScore;
  }

  /** Raises the score: something suggests that this broker itself is slow. */
  void degrade(long by) {
    score = (int) Math.min(maximumScore, score + by);
  }

  /** Lowers the score by one: an ack came in time. */
  void improve() {
    score = Math.max(0, score - 1);
  }

  /** 0 where this broker is healthy. */
  int score() {
    return score;
  }

  /** A timeout in microseconds, stretched by the score. */
  long scale(long timeoutUs) {
    return timeoutUs * (1 + score);
  }
}
