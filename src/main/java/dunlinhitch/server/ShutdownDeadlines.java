package dunlinhitch.server;

import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;

/**
 * The points in time of one graceful shutdown, in microseconds of the broker's clock.
 *
 * @param drainUs from here on each response closes its connection
 * @param shutdownUs from here on the broker ends as soon as nothing is in flight
 * @param lastResponseUs the last response is written by then
 * @param closedUs the frontends are closed by then, whatever is still open
 */
record ShutdownDeadlines(long drainUs, long shutdownUs, long lastResponseUs, long closedUs) {
  /**
   * The platform's protocol: after the request to end, the process is left running for this and the
   * longest query deadline, and connections that stay open remain in use.
   */
  private static final long GRACE_PERIOD_US = 700_000;

  /** The platform's limit on the longest query deadline in that sum. */
  private static final long MAXIMUM_DEADLINE_US = 3_000_000;

  /** Margin between the last response and the end of the process. */
  private static final long LAST_RESPONSE_MARGIN_US = 250_000;

  /** Margin between the closing of the frontends and the end of the process. */
  private static final long CLOSE_MARGIN_US = 100_000;

  /** A request may still arrive so long after the listener has closed its connection. */
  private static final long LATE_REQUEST_US = 150_000;

  /** How long the closing of the frontends may take in a graceful shutdown. */
  private static final long CLOSE_TIMEOUT_US = 1_000_000;

  /** The same where no client can be sending a request meanwhile. */
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

  /** Returns when frontends that start closing at {@code nowUs} are to be closed. */
  static long closeDueUs(ShutdownDeadlines deadlines, long nowUs) {
    return deadlines == null
        ? nowUs + IMMEDIATE_CLOSE_TIMEOUT_US
        : Math.min(deadlines.closedUs, nowUs + CLOSE_TIMEOUT_US);
  }
}
