package dunlinhitch.scoring;

/**
 * The factors of one round, by server and query class. Immutable and safe to read on any thread. A
 * combination without an entry has factor 1.
 */
public final class FactorTable {
  /** The table used without a scorer: all factors are exactly 1. */
  public static final FactorTable NONE = new FactorTable(0, new double[0]);

  private final int classes;
  private final double[] factors;

  /**
   * Takes ownership of the factors.
   *
   * @param classes number of query classes
   * @param factors factors of the first server by query class, followed by those of the next server
   */
  FactorTable(int classes, double[] factors) {
    this.classes = classes;
    this.factors = factors;
    for (int index = 0; index < factors.length; index++) {
      double clamped = Scoring.clamp(factors[index]);
      factors[index] = Double.isNaN(clamped) ? 1 : clamped;
    }
  }

  /** The factor by which the predicted work of a server is multiplied for a query class. */
  public double factor(int server, int queryClass) {
    int index = server * classes + queryClass;
    boolean present =
        server >= 0 && queryClass >= 0 && queryClass < classes && index < factors.length;
    return present ? factors[index] : 1;
  }
}
