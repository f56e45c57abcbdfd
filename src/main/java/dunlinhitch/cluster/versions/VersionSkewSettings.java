package dunlinhitch.cluster.versions;

/**
 * When a broker is a straggler, and what follows; in microseconds.
 *
 * @param boundUs on an older version for longer than this, from when the newer was heard of, it is
 *     one
 * @param againUs one that is asks its source again so often
 * @param shutUs after most brokers have held the newer version for so long it is shut out, and lets
 *     nothing new in itself
 */
public record VersionSkewSettings(long boundUs, long againUs, long shutUs) {
  public static final VersionSkewSettings STANDARD =
      new VersionSkewSettings(1_500_000, 1_000_000, 10_000_000);

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
