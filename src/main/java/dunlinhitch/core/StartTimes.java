package dunlinhitch.core;

/**
 * Translates start times of endpoints, which discovery reports as Unix time of another machine, to
 * this broker's monotonic clock. The two wall clocks may differ, for example because this machine's
 * clock was stepped before the process started. With a direct comparison of a reported start and
 * the current time, an endpoint that has just started could appear to be warmed up, or a warm
 * endpoint could appear cold for an hour.
 *
 * <p>Independently of any wall clock, an endpoint starts before this broker first sees its start
 * time. The difference between the time at which a start is first seen and the reported start is
 * therefore an upper bound for the offset between the clocks. The smallest difference so far is
 * added to each reported start. The first list that discovery sends is an exception: its starts
 * count towards the smallest difference, but are used as reported, limited to the current time. All
 * of them may be long ago; if the difference were added to them, warm endpoints would appear cold.
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
   * Records that discovery has sent a list or changes. A start that is first reported in a later
   * list or change is recent.
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
