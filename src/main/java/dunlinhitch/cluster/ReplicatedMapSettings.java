package dunlinhitch.cluster;

/**
 * The age limits and bounds of a {@link ReplicatedMap}.
 *
 * @param timeToLiveUs the age at which an entry expires, counted from its timestamp, in
 *     microseconds
 * @param skewUs the tolerated clock skew in microseconds; entries with a timestamp further in the
 *     future are rejected
 * @param maxEntries the maximum number of entries
 * @param maxEntriesPerOrigin the maximum number of entries of one origin
 */
public record ReplicatedMapSettings(
    long timeToLiveUs, long skewUs, int maxEntries, int maxEntriesPerOrigin) {
  /**
   * Checks that the time to live and the bounds are positive, that the skew is not negative, and
   * that the bound per origin does not exceed the total.
   */
  public ReplicatedMapSettings {
    if (timeToLiveUs <= 0
        || skewUs < 0
        || maxEntries < 1
        || maxEntriesPerOrigin < 1
        || maxEntriesPerOrigin > maxEntries) {
      throw new IllegalArgumentException(
          "time to live must be positive, skew at least 0, entries per origin at least 1 and at "
              + "most the total number of entries: got time to live "
              + timeToLiveUs
              + ", skew "
              + skewUs
              + ", entries "
              + maxEntries
              + ", entries per origin "
              + maxEntriesPerOrigin);
    }
  }
}
