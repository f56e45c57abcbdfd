package dunlinhitch.backend.frames;

/**
 * How long a connection with parts out may be quiet before it is asked whether it still lives.
 * Guards against asking those that are only as slow as all stores are: one broker's checks are few,
 * but those of all brokers together were most of the probes that stores had to answer. What stores
 * usually take is learnt over all of them, for each is met seldom.
 */
final class Quiet {
  /** No store is asked sooner than after this part of the time in which a connection comes up. */
  private static final int LEAST_PART = 3;

  /**
   * So many replies of a hundred come within the usual time; a connection is given this much
   * longer.
   */
  private static final double WITHIN = 0.9;

  private static final double LONGER = 1.5;

  /** How far one reply moves it, of itself or of a share of what that reply took. */
  private static final double STEP = 0.05;

  private static final double SHARE = 0.25;
  private double usualUs;

  /** A store answered so long after it was sent a part. */
  void replied(long tookUs) {
    double step = STEP * Math.max(usualUs, SHARE * tookUs);
    usualUs += tookUs > usualUs ? step * WITHIN : -step * (1 - WITHIN);
  }

  /** At most what a connection has to come up: by then one that vanished would have shown. */
  long longestUs(long connectTimeoutUs) {
    return Math.min(
        connectTimeoutUs, Math.max(connectTimeoutUs / LEAST_PART, (long) (LONGER * usualUs)));
  }
}
