package dunlinhitch.cluster.versions;

/**
 * A decision of the {@link VersionSkewDetector} about a broker.
 *
 * @param broker the broker
 * @param kind which of its versions is outdated
 * @param step the step to take
 * @param actual the version that it acts on
 * @param newest the newest version that this broker knows
 * @param skewUs the time since this broker learned of the newer version, in microseconds
 */
public record SkewVerdict(
    String broker, Kind kind, Step step, String actual, String newest, long skewUs) {
  /**
   * The kinds of versions that can be outdated. Builds are not included, because a cluster runs two
   * of them during an upgrade.
   */
  public enum Kind {
    /** The settings. */
    SETTINGS,
    /** The endpoint list. */
    ROSTER
  }

  /** A step in handling a version skew; the names are part of log lines and tests. */
  public enum Step {
    /** The broker is outdated. */
    SEEN,
    /** This broker itself is outdated and has to refresh from its source. */
    BRING_UP,
    /** The broker is fenced; if it is this one, it admits no new work. */
    SHUT_OUT,
    /** A fenced broker has caught up. */
    LET_IN,
    /** An outdated broker has caught up before it was fenced. */
    CAUGHT_UP
  }
}
