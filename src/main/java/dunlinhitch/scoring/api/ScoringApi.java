package dunlinhitch.scoring.api;

/**
 * What a plug-in is built against: this package and {@code java.*}, nothing else of the program.
 * The version rises when a plug-in that was built before could not run any more or would be given
 * something else than it was promised; within a version things are only added.
 */
public final class ScoringApi {
  /** A constant, so that a plug-in's own class file carries the version that it was built with. */
  public static final int VERSION = 1;

  /** A factor is held to no less than this and no more than one over it. */
  public static final double LEAST_FACTOR = 0.25;

  public static final double MOST_FACTOR = 4;

  private ScoringApi() {}
}
