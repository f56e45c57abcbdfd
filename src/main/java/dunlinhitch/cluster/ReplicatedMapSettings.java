package dunlinhitch.cluster;

/**
 * The age limits and bounds of a {@link ReplicatedMap}.
 *
 * @param timeToLiveUs how long after its timestamp an entry expires, in microseconds
 * @param skewUs how far in the future a timestamp may be, in microseconds: the clock skew that is
 *     tolerated
 * @param maxEntries entries in the map at most
 * @param maxEntriesPerOrigin entries of one origin at most
 */
public record ReplicatedMapSettings(
    long timeToLiveUs, long skewUs, int maxEntries, int maxEntriesPerOrigin) {
  /** Checks that entries can exist for a while. */
  public ReplicatedMapSettings {
    if (timeToLiveUs <= 0
        || skewUs < 0
        || maxEntries < 1
        || maxEntriesPerOrigin < 1
        || maxEntriesPerOrigin > maxEntries) {
      throw new IllegalArgumentException(
          "facts live for a while and some of them are kept: "
              + timeToLiveUs
              + ", "
              + skewUs
              + ", "
              + maxEntries
              + ", "
              + maxEntriesPerOrigin);
    }
  }
}
