package dunlinhitch.cluster.versions;

/**
 * When a broker counts as outdated, and what follows; all in microseconds.
 *
 * @param boundUs a broker is reported as outdated after so long, from when the newer version became
 *     known
 * @param againUs how often an outdated broker refreshes from its source
 * @param shutUs an outdated broker is fenced after most brokers have acted on the newer version for
 *     so long
 */
public record VersionSkewSettings(long boundUs, long againUs, long shutUs) {
  /** Reported after 1.5 s, refreshed once a second, fenced after 10 s. */
  public static final VersionSkewSettings STANDARD =
      new VersionSkewSettings(1_500_000, 1_000_000, 10_000_000);

  /** Checks that the times are positive and that fencing comes after the report. */
  public VersionSkewSettings {
    if (boundUs <= 0 || againUs <= 0 || shutUs <= boundUs) {
      throw new IllegalArgumentException(
          "a straggler is seen after a time above 0, asks again after one, and is shut out later "
              + "than it is seen: "
              + boundUs
              + ", "
              + againUs
              + ", "
              + shutUs
              + " us");
    }
  }
}
