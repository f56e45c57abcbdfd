package dunlinhitch.core;

/**
 * Translates start times of endpoints, which discovery reports as Unix time of another machine, to
 * this broker's monotonic clock. The two wall clocks may differ, for example because this machine's
 * clock was stepped before the process started. With a direct comparison of a reported start and
 * the current time, an endpoint that has just started could appear to be warmed up, or a warm
 * endpoint could appear cold for an hour.
 *
 * <p>Independently of any wall clock, a start precedes the time at which it is first seen. The
 * smallest difference between the two over all starts seen so far is an upper bound for the offset
 * between the clocks, and every start is shifted by that bound. This is not done for the first list
 * that discovery sends: all starts in it may be long ago, so the bound would make warm endpoints
 * appear cold. Starts in that list are taken as reported, limited to the current time.
 *
 * <p>Owned by the reducer; not thread-safe.
 */
final class StartTimes {
  private static final long UNKNOWN = Long.MAX_VALUE;

  private boolean firstListReceived;

  /**
   * The smallest difference between a reported start and the time it was first seen, in
   * microseconds.
   */
  private long smallestDifferenceUs = UNKNOWN;

  /**
   * Handles the receipt of a list, or of changes, from discovery. A start that first appears in a
   * later list or change is recent.
   */
  void onListReceived() {
    firstListReceived = true;
  }

  /**
   * Returns when an endpoint started, in microseconds on the broker's clock; 0 means long ago.
   *
   * @param reportedUs the reported start, Unix time in microseconds; 0 means long ago
   * @param nowUs the current time, at which the start is first seen
   */
  long localStartUs(long reportedUs, long nowUs) {
    if (reportedUs == 0) {
      return 0;
    }
    smallestDifferenceUs = Math.min(smallestDifferenceUs, nowUs - reportedUs);
    return firstListReceived ? reportedUs + smallestDifferenceUs : Math.min(reportedUs, nowUs);
  }
}
