package dunlinhitch.cluster.versions;

/**
 * A decision of the {@link VersionSkewDetector} about an outdated broker.
 *
 * @param broker the name of the broker
 * @param kind which version of the broker is outdated
 * @param step what to do about the broker
 * @param actual the version that the broker runs with
 * @param newest the newest version that any broker has announced
 * @param skewUs the time since the detector found the broker outdated, in microseconds
 */
public record SkewVerdict(
    String broker, Kind kind, Step step, String actual, String newest, long skewUs) {
  /**
   * The kinds of versions that can be outdated. Builds are not included, because a cluster runs two
   * builds during an upgrade.
   */
  public enum Kind {
    /** The version of the settings. */
    SETTINGS,
    /** The generation of the endpoint list. */
    ROSTER
  }

  /** A step in handling a version skew; the names are part of log lines and tests. */
  public enum Step {
    /** The broker is reported as outdated. */
    SEEN,
    /** This broker itself is outdated and has to reload the outdated data from its source. */
    BRING_UP,
    /** The broker is fenced. A broker that fences itself admits no new work. */
    SHUT_OUT,
    /** A fenced broker has caught up. */
    LET_IN,
    /** An outdated broker has caught up before it was fenced. */
    CAUGHT_UP
  }
}
