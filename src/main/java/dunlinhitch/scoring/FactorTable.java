package dunlinhitch.scoring;

import dunlinhitch.scoring.api.ScoringApi;

/**
 * Factors of one moment, by server and class; never changed, so that any thread may read it. What
 * is not in it has factor 1.
 */
public final class FactorTable {
  /** No scorer: every choice is as it was, to the bit. */
  public static final FactorTable NONE = new FactorTable(0, new double[0]);

  private final int classes;
  private final double[] factors;

  /**
   * {@code factors}: those of the first server by class, then those of the next; it is taken over.
   */
  FactorTable(int classes, double[] factors) {
    this.classes = classes;
    this.factors = factors;
    for (int i = 0; i < factors.length; i++) {
      double held = Math.max(ScoringApi.LEAST_FACTOR, Math.min(ScoringApi.MOST_FACTOR, factors[i]));
      factors[i] = Double.isNaN(held) ? 1 : held;
    }
  }

  public double factor(int server, int queryClass) {
    int at = server * classes + queryClass;
    return server >= 0 && queryClass >= 0 && queryClass < classes && at < factors.length
        ? factors[at]
        : 1;
  }
}
