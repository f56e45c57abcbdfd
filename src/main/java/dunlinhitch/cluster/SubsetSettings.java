package dunlinhitch.cluster;

/**
 * How many of a cell's endpoints each broker sends work to, and how unevenly the brokers may be
 * spread over the endpoints.
 *
 * @param minSize endpoints of a cell for each broker at least, where the cell has so many: one to
 *     use, the others for failover
 * @param spread brokers for each endpoint at least, on average: an endpoint that only one broker
 *     uses is lost with it
 * @param slack how far the brokers of one endpoint may exceed the average, as a fraction of it
 */
public record SubsetSettings(int minSize, double spread, double slack) {
  /** Two endpoints of a cell, three brokers for two endpoints, a fifth over the average. */
  public static final SubsetSettings STANDARD = new SubsetSettings(2, 1.5, 0.2);

  /**
   * Unused assignments in a cell at least: without them, one broker that joins or leaves would move
   * many others.
   */
  private static final int MIN_SPARE_ASSIGNMENTS = 2;

  /** Absorbs rounding errors, so that a whole number is not rounded to its neighbor. */
  private static final double ROUNDING_TOLERANCE = 1e-9;

  private static final double MAX_FACTOR = 1e6;

  /** Checks the ranges; NaN is rejected. */
  public SubsetSettings {
    if (minSize < 1
        || !(spread >= 1)
        || !(slack >= 0)
        || spread > MAX_FACTOR
        || slack > MAX_FACTOR) {
      throw new IllegalArgumentException(
          "a subset has 1 store or more, a spread from 1 on and a slack from 0 on, not "
              + minSize
              + ", "
              + spread
              + ", "
              + slack);
    }
  }

  /** The endpoints that each of so many brokers uses in a cell with so many endpoints. */
  public int size(int brokers, int endpoints) {
    int forSpread = (int) Math.ceil(spread * endpoints / Math.max(1, brokers) - ROUNDING_TOLERANCE);
    return Math.min(endpoints, Math.max(minSize, forSpread));
  }

  /** The brokers that use one endpoint of such a cell at most. */
  public int maxLoad(int brokers, int endpoints) {
    if (endpoints == 0) {
      return 0;
    }
    int size = size(brokers, endpoints);
    double mean = (double) brokers * size / endpoints;
    int rounded = (int) Math.ceil(mean - ROUNDING_TOLERANCE);
    int withSlack = (int) Math.floor(mean * (1 + slack) + ROUNDING_TOLERANCE);
    int most = Math.max(rounded, withSlack);
    long needed = (long) brokers * size + MIN_SPARE_ASSIGNMENTS;
    boolean isTight = (long) most * endpoints < needed;
    return Math.min(brokers, isTight ? most + 1 : most);
  }
}
