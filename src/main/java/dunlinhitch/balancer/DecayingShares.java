package dunlinhitch.balancer;

/**
 * Exponentially decaying counts by index, and the fraction that each has of their sum.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class DecayingShares {
  private final double[] counts;
  private long updatedUs;

  DecayingShares(int size) {
    counts = new double[size];
  }

  /**
   * Increments the count at an index and returns its resulting fraction of the sum of all counts.
   */
  double increment(int index, long nowUs, double timeConstantUs) {
    double decay = Math.exp((updatedUs - nowUs) / timeConstantUs);
    updatedUs = nowUs;
    double sum = 0;
    for (int i = 0; i < counts.length; i++) {
      counts[i] = counts[i] * decay + (i == index ? 1 : 0);
      sum += counts[i];
    }
    return counts[index] / sum;
  }
}
