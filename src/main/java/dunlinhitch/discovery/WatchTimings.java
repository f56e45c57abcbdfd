package dunlinhitch.discovery;

import dunlinhitch.balancer.settings.Settings;

/**
 * Timeouts and delays of the watch on discovery, in microseconds. Where lists are pushed, an agent
 * on the broker's own machine answers at once and at no cost. Where discovery is polled, it is one
 * service for all brokers, and slow.
 *
 * @param idleTimeoutUs a watch has failed on which nothing is received for so long, not even the
 *     empty line that discovery sends every 2 s
 * @param stallTimeoutUs a watch has failed on which an object stays incomplete for so long
 * @param responseTimeoutUs a request has failed without a response for so long; sooner where others
 *     are in flight beside it
 * @param retryUs delay of another request beside one that is not answered, where more than one may
 *     be in flight
 * @param maxRequests how many requests may be in flight; beyond that the oldest has failed
 * @param backoff delays between a watch that failed and the next request
 */
record WatchTimings(
    long idleTimeoutUs,
    long stallTimeoutUs,
    long responseTimeoutUs,
    long retryUs,
    int maxRequests,
    Backoff.Bounds backoff) {
  private static final long SECOND_US = 1_000_000;

  /**
   * The empty line comes every 2 s; the broker answers for what a watch misses from 6 s after it
   * fell silent.
   */
  private static final long IDLE_TIMEOUT_US = 2_600_000;

  private static final long STALL_TIMEOUT_US = 2_500_000;
  private static final long RESPONSE_TIMEOUT_US = 3_000_000;

  /**
   * After an outage the broker answers at once for what the agent has, and a request from before it
   * may never be answered. The grace period of a drain may be 250 ms: its update is to be read
   * within half of that.
   */
  private static final long AGENT_RETRY_US = 120_000;

  private static final int AGENT_MAX_REQUESTS = 8;
  private static final Backoff.Bounds AGENT_BACKOFF = new Backoff.Bounds(60_000, 120_000);

  /** A polled discovery gets one request at a time, which is not repeated before it failed. */
  private static final int SHARED_MAX_REQUESTS = 1;

  private static final long SHARED_RETRY_US = 0;

  /**
   * A discovery shared by all brokers serves 1.4 requests a second and more: the maximum delay of
   * each broker grows by this for each broker.
   */
  private static final long DELAY_PER_BROKER_US = 1_250_000;

  /**
   * The broker answers for what discovery has from 6 s after it could be reached, whatever failed
   * before: a request is made at most 4 s after the one before it, which leaves 2 s for its
   * response.
   */
  private static final long LONGEST_DELAY_US = 4 * SECOND_US;

  private static final long SHORTEST_INITIAL_DELAY_US = SECOND_US / 10;

  /** The initial delay is this fraction of the delay between requests of one broker. */
  private static final int INITIAL_DELAY_FRACTION = 4;

  /** The timings by the settings; delays fit into the time in which the rules require a poll. */
  static WatchTimings of(Settings settings) {
    if (!settings.mustPollServerList()) {
      return new WatchTimings(
          IDLE_TIMEOUT_US,
          STALL_TIMEOUT_US,
          RESPONSE_TIMEOUT_US,
          AGENT_RETRY_US,
          AGENT_MAX_REQUESTS,
          AGENT_BACKOFF);
    }
    return new WatchTimings(
        IDLE_TIMEOUT_US,
        STALL_TIMEOUT_US,
        RESPONSE_TIMEOUT_US,
        SHARED_RETRY_US,
        SHARED_MAX_REQUESTS,
        sharedBackoff(settings));
  }

  private static Backoff.Bounds sharedBackoff(Settings settings) {
    long pollWithinUs = settings.rules().pollWithinUs();
    long pollDelayUs = pollWithinUs > 0 ? Math.max(SECOND_US, pollWithinUs / 2) : LONGEST_DELAY_US;
    long longestUs = Math.min(LONGEST_DELAY_US, pollDelayUs);
    long delayUs = Math.min(longestUs, settings.brokers() * DELAY_PER_BROKER_US);
    return new Backoff.Bounds(
        Math.max(SHORTEST_INITIAL_DELAY_US, delayUs / INITIAL_DELAY_FRACTION),
        Math.max(SECOND_US, delayUs));
  }
}
