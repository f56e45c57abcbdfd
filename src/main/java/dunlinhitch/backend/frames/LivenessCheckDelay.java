package dunlinhitch.backend.frames;

/**
 * How long a connection with attempts in flight may receive nothing before its liveness is checked.
 * The delay follows the reply latency over all stores of this broker, so that connections which are
 * only as slow as all others are not checked: the checks of many brokers add up at the stores.
 *
 * <p>Not thread-safe; all connections share one on the event loop.
 */
final class LivenessCheckDelay {
  /** The shortest delay is the connect timeout divided by this. */
  private static final int MIN_DELAY_DIVISOR = 3;

  /** The quantile of the reply latency that the estimate tracks. */
  private static final double QUANTILE = 0.9;

  /** The delay is the tracked quantile times this. */
  private static final double MARGIN = 1.5;

  /** How far one reply moves the estimate, as a share of itself or of the reply's latency. */
  private static final double STEP = 0.05;

  /** The share of a reply's latency that takes the place of a smaller estimate in the step. */
  private static final double LATENCY_SHARE = 0.25;

  private double quantileUs;

  /** Learns from the time between a part's request and its reply. */
  void onReply(long latencyUs) {
    double step = STEP * Math.max(quantileUs, LATENCY_SHARE * latencyUs);
    quantileUs += latencyUs > quantileUs ? step * QUANTILE : -step * (1 - QUANTILE);
  }

  /** The delay, at most the connect timeout: a new connection to a dead host would fail by then. */
  long delayUs(long connectTimeoutUs) {
    return Math.min(
        connectTimeoutUs,
        Math.max(connectTimeoutUs / MIN_DELAY_DIVISOR, (long) (MARGIN * quantileUs)));
  }
}
