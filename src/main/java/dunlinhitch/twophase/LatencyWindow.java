package dunlinhitch.twophase;

import org.HdrHistogram.Histogram;

/**
 * Latency percentiles over the current and the previous time window.
 *
 * <p>Not thread-safe; owned by a {@link ClassEstimates}.
 */
final class LatencyWindow {
  /** Upper limit for recorded samples, in microseconds; longer ones are clamped. */
  static final long MAX_LATENCY_US = 60_000_000;

  /** Length of one window, in microseconds. */
  private static final long WINDOW_US = 20_000_000;

  private static final int SIGNIFICANT_DIGITS = 2;

  private Histogram current = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
  private Histogram previous = new Histogram(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
  private long currentEndUs;

  /**
   * Records a sample taken at {@code nowUs}; the first sample after the end of a window rotates the
   * windows.
   */
  void record(long nowUs, long latencyUs) {
    if (nowUs >= currentEndUs) {
      Histogram oldest = previous;
      previous = current;
      current = oldest;
      current.reset();
      currentEndUs = nowUs + WINDOW_US;
    }
    current.recordValue(Math.max(1, Math.min(MAX_LATENCY_US, latencyUs)));
  }

  /** Number of samples in both windows. */
  long count() {
    return current.getTotalCount() + previous.getTotalCount();
  }

  /** Percentile (0 to 100) of the window that has more samples, in microseconds. */
  double percentileUs(double percentile) {
    Histogram larger = current.getTotalCount() >= previous.getTotalCount() ? current : previous;
    return larger.getValueAtPercentile(percentile);
  }
}
