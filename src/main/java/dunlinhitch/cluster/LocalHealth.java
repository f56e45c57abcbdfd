package dunlinhitch.cluster;

/**
 * How well this broker itself does, after Lifeguard (Dadgar, Phillips and Currey, 2017): one that
 * hears late takes others for dead that are not, so it gives them more time. Unlike there a
 * helper's silence alone counts for nothing: where most of a fleet died, it is the helpers that are
 * silent.
 */
final class LocalHealth {
  private final int most;
  private int score;

  LocalHealth(int most) {
    this.most = most;
  }

  void worse(long by) {
    score = (int) Math.min(most, score + by);
  }

  void better() {
    score = Math.max(0, score - 1);
  }

  int score() {
    return score;
  }

  long stretched(long us) {
    return us * (1 + score);
  }
}
