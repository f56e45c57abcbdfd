package dunlinhitch.cluster;

/**
 * The local health multiplier of Lifeguard (Dadgar, Phillips and Currey, 2017): a broker that
 * processes messages late would declare healthy members dead, so it lengthens its timeouts. In the
 * paper, an unanswered ping-req also raises the score of the broker that sent it. In this
 * implementation, an unanswered ping-req by itself does not affect the score: if most of a cluster
 * has failed, the helpers have failed too.
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

  /** Raises the score after a sign that this broker itself is slow. */
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

  /** Returns the given timeout in microseconds, lengthened according to the score. */
  long scale(long timeoutUs) {
    return timeoutUs * (1 + score);
  }
}
