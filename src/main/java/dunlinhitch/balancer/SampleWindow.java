package dunlinhitch.balancer;

import java.util.Arrays;

/**
 * A sliding window over the newest samples of one quantity, and their quantiles.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class SampleWindow {
  private final double[] samples;
  private final double[] sorted;
  private boolean sortedIsStale = true;
  private int sampleCount;
  private double minimum;

  /**
   * Initializes the window with samples spread evenly around a mean, so that quantiles differ
   * before the first real sample.
   */
  SampleWindow(int size, double mean) {
    samples = new double[size];
    sorted = new double[size];
    for (int i = 0; i < size; i++) {
      samples[i] = mean * (0.5 + (double) i / size);
    }
  }

  void add(double value) {
    minimum = sampleCount == 0 ? value : Math.min(minimum, value);
    samples[sampleCount % samples.length] = value;
    sampleCount++;
    sortedIsStale = true;
  }

  /** Number of samples added so far, including those that have left the window. */
  int sampleCount() {
    return sampleCount;
  }

  /** The smallest of all samples added so far; 0 before the first. */
  double minimum() {
    return minimum;
  }

  /** The sample at the given fraction, from 0 to 1, of the sorted window. */
  double quantile(double fraction) {
    if (sortedIsStale) {
      System.arraycopy(samples, 0, sorted, 0, samples.length);
      Arrays.sort(sorted);
      sortedIsStale = false;
    }
    return sorted[(int) (fraction * (sorted.length - 1))];
  }
}
