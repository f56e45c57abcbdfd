package dunlinhitch.cluster;

import java.util.List;

/**
 * What one broker saw of a store, as it travels among the brokers. It is of the life of the store
 * that began at {@code startedMs}: of another life it says nothing.
 *
 * @param store its name, the same at all brokers
 * @param startedMs when that life of the store began, Unix time in milliseconds; 0: long ago
 * @param author the broker that saw it
 * @param number the author's own count of what it saw of that store; a later one stands in place of
 *     the earlier
 * @param seenUs when it was seen, on the day's clock, in microseconds
 * @param report the load that the store told, in the order of the settings' fields; empty where it
 *     told none
 * @param failed attempts and probes that failed without an answer since the last that did not
 */
public record EndpointObservation(
    String store,
    long startedMs,
    String author,
    long number,
    long seenUs,
    List<Float> report,
    int failed) {
  public EndpointObservation {
    if (store.isEmpty()
        || author.isEmpty()
        || number < 0
        || failed < 0
        || seenUs < 0
        || startedMs < 0) {
      throw new IllegalArgumentException(
          "a signal names its store and author and counts from 0: "
              + store
              + ", "
              + author
              + ", "
              + number
              + ", "
              + failed
              + ", seen "
              + seenUs
              + ", started "
              + startedMs);
    }
    report = List.copyOf(report);
  }

  /**
   * True where this one stands in place of the other: of a later life, or of the same and said
   * later.
   */
  boolean replaces(EndpointObservation other) {
    if (startedMs != other.startedMs) {
      return startedMs > other.startedMs;
    }
    return seenUs != other.seenUs
        ? seenUs > other.seenUs
        : number != other.number ? number > other.number : author.compareTo(other.author) > 0;
  }

  int bytes() {
    return store.length() + author.length() + 4 + 3 * Long.BYTES + Float.BYTES * report.size();
  }

  /** The report as the decisions take it. */
  public float[] values() {
    float[] values = new float[report.size()];
    for (int i = 0; i < values.length; i++) {
      values[i] = report.get(i);
    }
    return values;
  }
}
