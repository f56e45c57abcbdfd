package dunlinhitch.cluster.versions;

/**
 * The times after which an outdated broker is reported, refreshed and fenced, in microseconds.
 *
 * @param boundUs the time from learning the newer version to reporting a broker as outdated
 * @param againUs the interval at which an outdated broker refreshes from its source
 * @param shutUs how long most brokers must have acted on the newer version before an outdated
 *     broker is fenced
 */
public record VersionSkewSettings(long boundUs, long againUs, long shutUs) {
  /** Reported after 1.5 s, refreshed every second, fenced after 10 s. */
  public static final VersionSkewSettings STANDARD =
      new VersionSkewSettings(1_500_000, 1_000_000, 10_000_000);

  /** Checks that the times are positive and that fencing comes after the report. */
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
