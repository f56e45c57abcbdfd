package dunlinhitch.endpoints;

/**
 * Bounds of the membership; all times are microseconds.
 *
 * @param cells number of cells; shard s is held by the cells (s + j) mod this, j below {@code
 *     inARow}
 * @param lingerUs how long a store that was taken back is remembered as the same process
 * @param staleForUs how long a word is kept past its time
 * @param firstHoldUs how long the second return within {@code calmUs} waits; each further one twice
 *     as long
 * @param mostHoldUs the longest that a return waits
 * @param calmUs after so long without a withdrawal a store's comings and goings are forgotten
 * @param mostStores ids that are kept at the most, claims of further ones are refused
 */
public record EndpointRegistrySettings(
    int cells,
    int inARow,
    long lingerUs,
    long staleForUs,
    long firstHoldUs,
    long mostHoldUs,
    long calmUs,
    int mostStores) {
  public EndpointRegistrySettings {
    if (cells < 1
        || inARow < 1
        || lingerUs < 0
        || staleForUs < 0
        || firstHoldUs < 0
        || mostHoldUs < firstHoldUs
        || calmUs < 0
        || mostStores < 1) {
      throw new IllegalArgumentException("membership settings out of range");
    }
  }

  /** The defaults for a layout. */
  public static EndpointRegistrySettings of(int cells, int inARow) {
    return new EndpointRegistrySettings(
        cells, inARow, 10_000_000, 3_600_000_000L, 500_000, 30_000_000, 60_000_000, 20_000);
  }

  public EndpointRegistrySettings withTimes(
      long linger, long staleFor, long firstHold, long mostHold, long calm) {
    return new EndpointRegistrySettings(
        cells, inARow, linger, staleFor, firstHold, mostHold, calm, mostStores);
  }
}
