package dunlinhitch.cluster.versions;

/**
 * The times after which an outdated broker is reported, refreshed and fenced, in microseconds.
 *
 * @param boundUs the time from detecting that a broker is outdated to reporting it
 * @param againUs the interval at which an outdated broker reloads the outdated data from its source
 * @param shutUs how long most brokers must have run with the newer version before an outdated
 *     broker is fenced
 */
public record VersionSkewSettings(long boundUs, long againUs, long shutUs) {
  /**
   * The defaults: an outdated broker is reported after 1.5 s, refreshed every second and fenced
   * after 10 s.
   */
  public static final VersionSkewSettings STANDARD =
      new VersionSkewSettings(1_500_000, 1_000_000, 10_000_000);

  /** Checks that the times are positive and that a broker is reported before it is fenced. */
  public VersionSkewSettings {
    if (boundUs <= 0 || againUs <= 0 || shutUs <= boundUs) {
      throw new IllegalArgumentException(
          "boundUs and againUs must be positive and shutUs greater than boundUs: got boundUs "
              + boundUs
              + ", againUs "
              + againUs
              + ", shutUs "
              + shutUs
              + " us");
    }
  }
}
