package dunlinhitch.discovery;

import dunlinhitch.balancer.settings.Settings;

/**
 * Timeouts and delays of the watch on discovery, in microseconds. If lists are pushed, the source
 * is an agent on the broker's own machine, which answers quickly and cheaply. If discovery is
 * polled, it is a slow service shared by all brokers.
 *
 * @param idleTimeoutUs a watch fails if nothing is received for this time, not even the empty line
 *     that discovery sends every 2 s
 * @param stallTimeoutUs a watch fails if an object stays incomplete for this time
 * @param responseTimeoutUs time after which an unanswered request fails if only one request may be
 *     in flight. If several may be in flight, this time selects the request that is closed at the
 *     limit {@code maxRequests}: the oldest request if it has waited at least this time, otherwise
 *     the second oldest
 * @param retryUs delay before another request is sent while one is unanswered, if more than one may
 *     be in flight
 * @param maxRequests maximum number of requests in flight; at this limit an older request is closed
 *     before a new one is sent
 * @param backoff bounds of the delay between a failed watch and the next request
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
   * Must exceed 2 s, because discovery sends an empty line every 2 s. Must be well below 6 s,
   * because the broker must act on changes within 6 s after a watch has stopped receiving data.
   */
  private static final long IDLE_TIMEOUT_US = 2_600_000;

  private static final long STALL_TIMEOUT_US = 2_500_000;
  private static final long RESPONSE_TIMEOUT_US = 3_000_000;

  /**
   * Upper bound of the delay before another request is sent to the agent. A request sent during an
   * outage may never be answered, so the broker keeps sending new ones. After the outage the broker
   * must read the list within 125 ms: the list may announce a drain, the grace period of a drain
   * can be as short as 250 ms, and the list must be read within half of the grace period.
   */
  private static final long AGENT_RETRY_US = 120_000;

  private static final int AGENT_MAX_REQUESTS = 8;
  private static final Backoff.Bounds AGENT_BACKOFF = new Backoff.Bounds(60_000, 120_000);

  /** Each broker has at most one request in flight to a shared discovery service. */
  private static final int SHARED_MAX_REQUESTS = 1;

  private static final long SHARED_RETRY_US = 0;

  /**
   * The maximum delay is this value times the number of brokers, up to {@link #LONGEST_DELAY_US}.
   * It grows with the number of brokers because all brokers share the capacity of the discovery
   * service, which is at least 1.4 requests per second in total.
   */
  private static final long DELAY_PER_BROKER_US = 1_250_000;

  /**
   * The broker must use the current list within 6 s after discovery becomes reachable, regardless
   * of earlier failures. Requests are at most 4 s apart, which leaves 2 s for the response.
   */
  private static final long LONGEST_DELAY_US = 4 * SECOND_US;

  private static final long SHORTEST_INITIAL_DELAY_US = SECOND_US / 10;

  /** The initial delay is the maximum delay of the broker divided by this value. */
  private static final int INITIAL_DELAY_FRACTION = 4;

  /** Returns the timings; if discovery is polled, the settings limit the delay between polls. */
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
