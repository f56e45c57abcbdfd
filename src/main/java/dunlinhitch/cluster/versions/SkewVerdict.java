package dunlinhitch.cluster.versions;

/**
 * What the {@link VersionSkewDetector} decided of a broker.
 *
 * @param broker the broker
 * @param kind which of its versions is outdated
 * @param step what follows
 * @param has the version that it acts on
 * @param newest the newest version that is known here
 * @param behindUs how long it has been outdated since the newer version became known here, in
 *     microseconds
 */
public record SkewVerdict(
    String broker, Kind kind, Step step, String has, String newest, long behindUs) {
  /** What can be outdated. A build cannot: a cluster runs two of them during an upgrade. */
  public enum Kind {
    /** The settings. */
    SETTINGS,
    /** The endpoint list. */
    ROSTER
  }

  /** What follows from a version skew; the names are part of log lines and tests. */
  public enum Step {
    /** The broker is outdated. */
    SEEN,
    /** This broker itself is outdated and is to refresh from its source. */
    BRING_UP,
    /** The broker is fenced; where it is this one, it admits no new work. */
    SHUT_OUT,
    /** A fenced broker has caught up. */
    LET_IN,
    /** An outdated broker has caught up before it was fenced. */
    CAUGHT_UP
  }
}
