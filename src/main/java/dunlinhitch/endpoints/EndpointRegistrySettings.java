package dunlinhitch.endpoints;

/**
 * Bounds of the endpoint registry; all times are microseconds.
 *
 * @param cells number of cells; shard s is in the cells (s + j) mod {@code cells}, for j from 0 to
 *     {@code cellsPerShard} - 1
 * @param cellsPerShard number of consecutive cells in which each shard is stored
 * @param lingerUs how long a withdrawn endpoint is remembered, so that its return counts as the
 *     same process
 * @param staleForUs how long a claim is retained as stale after its expiry
 * @param firstSuppressionUs how long the second return within {@code stablePeriodUs} is suppressed;
 *     each further return is suppressed for twice as long as the previous one
 * @param maxSuppressionUs the maximum time for which a return is suppressed
 * @param stablePeriodUs time without a withdrawal after which the flap history of an endpoint is
 *     reset
 * @param maxEndpoints maximum number of endpoint names; claims on further endpoints are rejected
 */
public record EndpointRegistrySettings(
    int cells,
    int cellsPerShard,
    long lingerUs,
    long staleForUs,
    long firstSuppressionUs,
    long maxSuppressionUs,
    long stablePeriodUs,
    int maxEndpoints) {
  private static final long DEFAULT_LINGER_US = 10_000_000;
  private static final long DEFAULT_STALE_FOR_US = 3_600_000_000L;
  private static final long DEFAULT_FIRST_SUPPRESSION_US = 500_000;
  private static final long DEFAULT_MAX_SUPPRESSION_US = 30_000_000;
  private static final long DEFAULT_STABLE_PERIOD_US = 60_000_000;
  private static final int DEFAULT_MAX_ENDPOINTS = 20_000;

  /** Checks the ranges. */
  public EndpointRegistrySettings {
    boolean layoutInRange = cells >= 1 && cellsPerShard >= 1 && maxEndpoints >= 1;
    boolean suppressionInRange = firstSuppressionUs >= 0 && maxSuppressionUs >= firstSuppressionUs;
    boolean timesInRange = lingerUs >= 0 && staleForUs >= 0 && stablePeriodUs >= 0;
    if (!layoutInRange || !suppressionInRange || !timesInRange) {
      throw new IllegalArgumentException(
          "endpoint registry settings out of range: cells, cells per shard and endpoints must be "
              + "at least 1; times must not be negative; the maximum suppression must not be shorter "
              + "than the first suppression; got cells "
              + cells
              + ", cells per shard "
              + cellsPerShard
              + ", endpoints "
              + maxEndpoints
              + ", linger "
              + lingerUs
              + " us, stale time "
              + staleForUs
              + " us, first suppression "
              + firstSuppressionUs
              + " us, maximum suppression "
              + maxSuppressionUs
              + " us, stable period "
              + stablePeriodUs
              + " us");
    }
  }

  /** Returns the default settings for a layout. */
  public static EndpointRegistrySettings of(int cells, int cellsPerShard) {
    return new EndpointRegistrySettings(
        cells,
        cellsPerShard,
        DEFAULT_LINGER_US,
        DEFAULT_STALE_FOR_US,
        DEFAULT_FIRST_SUPPRESSION_US,
        DEFAULT_MAX_SUPPRESSION_US,
        DEFAULT_STABLE_PERIOD_US,
        DEFAULT_MAX_ENDPOINTS);
  }

  /** Returns these settings with the given times, all in microseconds. */
  public EndpointRegistrySettings withTimes(
      long newLingerUs,
      long newStaleForUs,
      long newFirstSuppressionUs,
      long newMaxSuppressionUs,
      long newStablePeriodUs) {
    return new EndpointRegistrySettings(
        cells,
        cellsPerShard,
        newLingerUs,
        newStaleForUs,
        newFirstSuppressionUs,
        newMaxSuppressionUs,
        newStablePeriodUs,
        maxEndpoints);
  }
}
