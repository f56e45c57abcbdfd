package dunlinhitch.server;

import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;

/**
 * The points in time of one graceful shutdown, in microseconds of the broker's clock.
 *
 * @param drainUs when the broker starts to close each connection with its next response
 * @param shutdownUs when the broker stops admitting queries and ends as soon as nothing is in
 *     flight
 * @param lastResponseUs when the last response must have been written
 * @param closedUs when the frontends must be closed, even if connections are still open
 */
record ShutdownDeadlines(long drainUs, long shutdownUs, long lastResponseUs, long closedUs) {
  /**
   * After the stop request, the process may run for this time plus the longest query deadline, as
   * the platform's protocol defines. During this time, clients continue to send queries on open
   * connections.
   */
  private static final long GRACE_PERIOD_US = 700_000;

  /**
   * Upper limit for the longest query deadline when the time for which the process may run is
   * computed. The platform's protocol defines this limit.
   */
  private static final long MAXIMUM_DEADLINE_US = 3_000_000;

  /** Margin between the last response and the end of the process. */
  private static final long LAST_RESPONSE_MARGIN_US = 250_000;

  /** Margin between the closing of the frontends and the end of the process. */
  private static final long CLOSE_MARGIN_US = 100_000;

  /**
   * Maximum time after the close of a connection in which a request that is already in transit may
   * arrive.
   */
  private static final long LATE_REQUEST_US = 150_000;

  /** Maximum time for closing the frontends in a graceful shutdown. */
  private static final long CLOSE_TIMEOUT_US = 1_000_000;

  /** Maximum time for closing the frontends if no client can be sending a request. */
  private static final long IMMEDIATE_CLOSE_TIMEOUT_US = 300_000;

  /** Returns the deadlines of a shutdown that is requested at {@code nowUs}. */
  static ShutdownDeadlines startingAt(long nowUs, Settings settings) {
    long longestUs =
        Math.min(
            MAXIMUM_DEADLINE_US,
            settings.classes().stream().mapToLong(QueryClass::deadlineUs).max().orElseThrow());
    long endUs = nowUs + GRACE_PERIOD_US + longestUs;
    long drainUs = nowUs + GRACE_PERIOD_US + longestUs / 2;
    return new ShutdownDeadlines(
        drainUs,
        drainUs + LATE_REQUEST_US,
        endUs - LAST_RESPONSE_MARGIN_US,
        endUs - CLOSE_MARGIN_US);
  }

  /** Returns the time by which frontends that start to close at {@code nowUs} must be closed. */
  static long closeDueUs(ShutdownDeadlines deadlines, long nowUs) {
    return deadlines == null
        ? nowUs + IMMEDIATE_CLOSE_TIMEOUT_US
        : Math.min(deadlines.closedUs, nowUs + CLOSE_TIMEOUT_US);
  }
}
