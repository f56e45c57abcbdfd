package dunlinhitch.scoring.api;

/**
 * Constants of the scorer interface. A plug-in is built against this package and {@code java.*}
 * only. The version rises with each incompatible change; within a version there are only additions.
 */
public final class ScoringApi {
  /**
   * The version; a compile-time constant, so that a plug-in's class file has the one it was built
   * with.
   */
  public static final int VERSION = 1;

  /** The lower bound of factors and weights. */
  public static final double LEAST_FACTOR = 0.25;

  /** The upper bound of factors and weights. */
  public static final double MOST_FACTOR = 4;

  private ScoringApi() {}
}
