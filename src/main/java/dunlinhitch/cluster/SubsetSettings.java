package dunlinhitch.cluster;

/**
 * The number of a cell's endpoints that each broker sends work to, and how unevenly the brokers may
 * be spread over the endpoints.
 *
 * @param minSize the minimum number of endpoints per broker and cell; if the cell has fewer, a
 *     broker uses all of them. A value above 1 allows failover
 * @param spread the minimum average number of brokers per endpoint; an endpoint with a single
 *     broker would be unused after a failure of that broker
 * @param slack the maximum by which the number of brokers of one endpoint may exceed the average,
 *     as a fraction of the average
 */
public record SubsetSettings(int minSize, double spread, double slack) {
  /**
   * The defaults: at least two endpoints per broker and cell, at least 1.5 brokers per endpoint on
   * average, and for each endpoint at most 20 % more brokers than the average.
   */
  public static final SubsetSettings STANDARD = new SubsetSettings(2, 1.5, 0.2);

  /**
   * The minimum spare capacity of a cell: the total capacity of its endpoints minus the number of
   * assignments. Without spare capacity, one broker that joins or leaves would change the
   * assignments of many others.
   */
  private static final int MIN_SPARE_ASSIGNMENTS = 2;

  /**
   * Tolerance for rounding errors, so that a result just above a whole number is not rounded up to
   * the next one.
   */
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
          "subset size must be at least 1, spread from 1 to 1e6 and slack from 0 to 1e6: got "
              + "size "
              + minSize
              + ", spread "
              + spread
              + ", slack "
              + slack);
    }
  }

  /**
   * The number of endpoints of a cell that each broker uses, given the numbers of brokers and
   * endpoints.
   */
  public int size(int brokers, int endpoints) {
    int forSpread = (int) Math.ceil(spread * endpoints / Math.max(1, brokers) - ROUNDING_TOLERANCE);
    return Math.min(endpoints, Math.max(minSize, forSpread));
  }

  /**
   * The maximum number of brokers that use one endpoint of a cell, given the numbers of brokers and
   * endpoints.
   */
  public int maxLoad(int brokers, int endpoints) {
    if (endpoints == 0) {
      return 0;
    }
    int size = size(brokers, endpoints);
    double mean = (double) brokers * size / endpoints;
    int rounded = (int) Math.ceil(mean - ROUNDING_TOLERANCE);
    int withSlack = (int) Math.floor(mean * (1 + slack) + ROUNDING_TOLERANCE);
    int bound = Math.max(rounded, withSlack);
    long needed = (long) brokers * size + MIN_SPARE_ASSIGNMENTS;
    boolean isTight = (long) bound * endpoints < needed;
    return Math.min(brokers, isTight ? bound + 1 : bound);
  }
}
