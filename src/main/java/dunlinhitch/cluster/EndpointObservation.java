package dunlinhitch.cluster;

import java.util.List;

/**
 * What one broker observed of an endpoint, as brokers share it. It concerns one incarnation of the
 * endpoint, the one that started at {@code startedMs}, and says nothing of others.
 *
 * @param endpoint the endpoint's name, the same at all brokers
 * @param startedMs when the endpoint started, Unix time in milliseconds; 0: long ago
 * @param observer the broker that made the observation
 * @param sequenceNumber the author's sequence number for that endpoint; a later observation
 *     replaces the earlier
 * @param observedUs when it was made, on the wall clock, in microseconds
 * @param report the endpoint's load report, in the order of the settings' fields, or empty
 * @param consecutiveFailures consecutive attempts and health checks without a response
 */
public record EndpointObservation(
    String endpoint,
    long startedMs,
    String observer,
    long sequenceNumber,
    long observedUs,
    List<Float> report,
    int consecutiveFailures) {
  /** Bytes of the lengths of the two names and of the failure count. */
  private static final int FIXED_BYTES = 4;

  /** Checks that the names are not empty and the numbers not negative. */
  public EndpointObservation {
    if (endpoint.isEmpty()
        || observer.isEmpty()
        || sequenceNumber < 0
        || consecutiveFailures < 0
        || observedUs < 0
        || startedMs < 0) {
      throw new IllegalArgumentException(
          "a signal names its store and author and counts from 0: "
              + endpoint
              + ", "
              + observer
              + ", "
              + sequenceNumber
              + ", "
              + consecutiveFailures
              + ", seen "
              + observedUs
              + ", started "
              + startedMs);
    }
    report = List.copyOf(report);
  }

  /** Whether this one replaces the other: it is of a later incarnation, or made later. */
  boolean replaces(EndpointObservation other) {
    if (startedMs != other.startedMs) {
      return startedMs > other.startedMs;
    }
    if (observedUs != other.observedUs) {
      return observedUs > other.observedUs;
    }
    if (sequenceNumber != other.sequenceNumber) {
      return sequenceNumber > other.sequenceNumber;
    }
    return observer.compareTo(other.observer) > 0;
  }

  /** About the bytes that it takes in a message. */
  int bytes() {
    return endpoint.length()
        + observer.length()
        + FIXED_BYTES
        + 3 * Long.BYTES
        + Float.BYTES * report.size();
  }

  /** The load report as the load balancer takes it. */
  public float[] values() {
    float[] values = new float[report.size()];
    for (int i = 0; i < values.length; i++) {
      values[i] = report.get(i);
    }
    return values;
  }
}
