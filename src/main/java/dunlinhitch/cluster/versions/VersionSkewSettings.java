package dunlinhitch.cluster.versions;

/**
 * The times after which an outdated broker is reported, refreshed and fenced, in microseconds.
 *
 * @param reportAfterUs the time from detecting that a broker is outdated to reporting it
 * @param refreshIntervalUs the interval at which an outdated broker reloads the outdated data from
 *     its source
 * @param fenceAfterUs how long most brokers must have run with the newer version before an outdated
 *     broker is fenced
 */
public record VersionSkewSettings(long reportAfterUs, long refreshIntervalUs, long fenceAfterUs) {
  /**
   * The defaults: an outdated broker is reported after 1.5 s, refreshed every second and fenced
   * after 10 s.
   */
  public static final VersionSkewSettings STANDARD =
      new VersionSkewSettings(1_500_000, 1_000_000, 10_000_000);

  /** Checks that the times are positive and that a broker is reported before it is fenced. */
  public VersionSkewSettings {
    if (reportAfterUs <= 0 || refreshIntervalUs <= 0 || fenceAfterUs <= reportAfterUs) {
      throw new IllegalArgumentException(
          "reportAfterUs and refreshIntervalUs must be positive and fenceAfterUs greater than "
              + "reportAfterUs: got reportAfterUs "
              + reportAfterUs
              + ", refreshIntervalUs "
              + refreshIntervalUs
              + ", fenceAfterUs "
              + fenceAfterUs
              + " us");
    }
  }
}
