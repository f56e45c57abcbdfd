package dunlinhitch.backend.frames;

/**
 * Computes how long a connection with attempts in flight may receive nothing before its liveness is
 * checked. The delay follows the reply latency over all stores of this broker, so that a connection
 * that is only as slow as the others is not checked. This limits the load at the stores, where the
 * checks of many brokers add up.
 *
 * <p>Not thread-safe; shared by all connections and used on the event loop only.
 */
final class LivenessCheckDelay {
  /** The shortest delay is the connect timeout divided by this. */
  private static final int MIN_DELAY_DIVISOR = 3;

  /** The quantile of the reply latency that the estimate tracks. */
  private static final double QUANTILE = 0.9;

  /** The delay is the tracked quantile times this. */
  private static final double MARGIN = 1.5;

  /**
   * Factor for the step by which the estimate changes. The step is this factor times the estimate,
   * or times {@link #LATENCY_SHARE} of the reply's latency if that is larger. One reply changes the
   * estimate by less than one step.
   */
  private static final double STEP = 0.05;

  /**
   * The step is computed from this fraction of the reply's latency if the estimate is smaller.
   * Without this minimum, an estimate of zero would never grow.
   */
  private static final double LATENCY_SHARE = 0.25;

  private double quantileUs;

  /** Updates the estimate with the time between a part's request and its reply. */
  void onReply(long latencyUs) {
    double step = STEP * Math.max(quantileUs, LATENCY_SHARE * latencyUs);
    quantileUs += latencyUs > quantileUs ? step * QUANTILE : -step * (1 - QUANTILE);
  }

  /**
   * Returns the delay. It is at most the connect timeout, because a new connection to a dead host
   * fails after that time, too.
   */
  long delayUs(long connectTimeoutUs) {
    return Math.min(
        connectTimeoutUs,
        Math.max(connectTimeoutUs / MIN_DELAY_DIVISOR, (long) (MARGIN * quantileUs)));
  }
}
