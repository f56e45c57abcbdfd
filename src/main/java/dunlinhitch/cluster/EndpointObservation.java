package dunlinhitch.cluster;

import java.util.List;

/**
 * An observation of an endpoint by one broker, as shared among brokers. The observation applies
 * only to the incarnation of the endpoint that started at {@code startedMs}.
 *
 * @param endpoint the endpoint's name, the same at all brokers
 * @param startedMs when the endpoint started, Unix time in milliseconds; 0 if unknown or long ago
 * @param observer the broker that made the observation
 * @param sequenceNumber the observer's sequence number for that endpoint; a higher number replaces
 *     a lower one
 * @param observedUs when the observation was made, on the wall clock, in microseconds
 * @param report the endpoint's load report, in the order of the settings' fields, or empty
 * @param consecutiveFailures the number of consecutive attempts and health checks without a
 *     response
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
          "names must not be empty and numbers not negative: got endpoint "
              + endpoint
              + ", observer "
              + observer
              + ", sequence number "
              + sequenceNumber
              + ", consecutive failures "
              + consecutiveFailures
              + ", observed at "
              + observedUs
              + ", started at "
              + startedMs);
    }
    report = List.copyOf(report);
  }

  /**
   * Whether this observation replaces the other one, because it applies to a later incarnation or
   * was made later.
   */
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

  /** The approximate size of the encoded observation in bytes. */
  int bytes() {
    return endpoint.length()
        + observer.length()
        + FIXED_BYTES
        + 3 * Long.BYTES
        + Float.BYTES * report.size();
  }

  /** The load report as an array, as the load balancer requires it. */
  public float[] values() {
    float[] values = new float[report.size()];
    for (int i = 0; i < values.length; i++) {
      values[i] = report.get(i);
    }
    return values;
  }
}
