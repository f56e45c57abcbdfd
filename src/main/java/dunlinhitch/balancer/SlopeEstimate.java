package dunlinhitch.balancer;

/**
 * The slope of one quantity over another through the origin, by exponentially weighted least
 * squares.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class SlopeEstimate {
  private double meanProduct;
  private double meanSquare;

  /** Adds a pair; {@code weight} is the share of the newest pair in the means. */
  void add(double input, double output, double weight) {
    meanProduct += weight * (input * output - meanProduct);
    meanSquare += weight * (input * input - meanSquare);
  }

  /**
   * The slope, regularized towards a prior that has the weight of a pair whose squared input is
   * {@code priorSquare}.
   */
  double slope(double prior, double priorSquare) {
    return (prior * priorSquare + meanProduct) / (priorSquare + meanSquare);
  }
}
