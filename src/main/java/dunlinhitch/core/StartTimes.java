package dunlinhitch.core;

/**
 * Translates the starts of endpoints that discovery reports, Unix time read elsewhere, to this
 * broker's monotonic clock. The wall clock of this machine may have been stepped before the process
 * took its base from it, so that a reported start can not be compared with the present time as it
 * is: an endpoint that has just started would look long warm, or a warm one cold for an hour.
 *
 * <p>What is known without a wall clock is that a start lies before the moment at which it was
 * first seen. The smallest difference between the two over all starts seen so far bounds by how
 * much the clocks differ: a start is taken to be no earlier than that allows. Starts in the first
 * list that discovery sends may lie far back, so that the bound would make warm endpoints cold; for
 * them the wall clock is trusted, but for the future.
 *
 * <p>Owned by the reducer; not thread-safe.
 */
final class StartTimes {
  private static final long UNKNOWN = Long.MAX_VALUE;

  private boolean firstListReceived;

  /** The least time from a reported start to when it was first seen, in microseconds. */
  private long smallestDifferenceUs = UNKNOWN;

  /** Discovery has sent a list, or changes; what follows in later ones is new. */
  void onListReceived() {
    firstListReceived = true;
  }

  /**
   * When an endpoint started, in microseconds of the broker's clock, 0 for a long time ago.
   *
   * @param reportedUs the start as first reported now, Unix time in microseconds; 0 for a long time
   *     ago
   * @param nowUs the time at which it is first seen
   */
  long localStartUs(long reportedUs, long nowUs) {
    if (reportedUs == 0) {
      return 0;
    }
    smallestDifferenceUs = Math.min(smallestDifferenceUs, nowUs - reportedUs);
    return firstListReceived ? reportedUs + smallestDifferenceUs : Math.min(reportedUs, nowUs);
  }
}
