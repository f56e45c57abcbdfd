package dunlinhitch.scoring.api;

/**
 * Constants of the scorer interface. A plug-in is built against this package and {@code java.*}
 * only. The version increases with each incompatible change; within a version only additions are
 * made.
 */
public final class ScoringApi {
  /**
   * The interface version. It is a compile-time constant, so a plug-in's class file contains the
   * version it was built against.
   */
  public static final int VERSION = 1;

  /** The lower bound of factors and weights. */
  public static final double LEAST_FACTOR = 0.25;

  /** The upper bound of factors and weights. */
  public static final double MOST_FACTOR = 4;

  private ScoringApi() {}
}
