package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The current observations of endpoints, merged from all brokers. For each endpoint, the table
 * stores the latest observation of each of at most {@link #MAX_OBSERVERS} brokers: those that
 * observed the endpoint most recently. Merging is commutative, associative and idempotent. Brokers
 * that have received the same observations therefore have equal tables, even if some were
 * duplicated or arrived in another order.
 *
 * <p>Not thread-safe. Times are microseconds of the wall clock.
 */
public final class ObservationTable {
  /**
   * The maximum number of stored observations of one endpoint. One observation suffices to
   * determine the load of the endpoint, but several observers are needed to distinguish a failing
   * endpoint from a failing network path.
   */
  static final int MAX_OBSERVERS = 3;

  /**
   * Orders observations from the latest to the earliest. The order is total, so that the retained
   * observations do not depend on the order of arrival.
   */
  private static final Comparator<EndpointObservation> LATEST_FIRST =
      Comparator.comparingLong(EndpointObservation::startedMs)
          .thenComparingLong(EndpointObservation::observedUs)
          .thenComparingLong(EndpointObservation::sequenceNumber)
          .thenComparing(EndpointObservation::observer)
          .reversed();

  private final int maxEndpoints;
  private final long maxAgeUs;
  private final Map<String, List<EndpointObservation>> byEndpoint = new LinkedHashMap<>();
  private long rejected;

  /**
   * Creates a table of at most {@code maxEndpoints} endpoints, whose observations expire after
   * {@code maxAgeUs}.
   */
  public ObservationTable(int maxEndpoints, long maxAgeUs) {
    this.maxEndpoints = maxEndpoints;
    this.maxAgeUs = maxAgeUs;
  }

  /**
   * Merges an observation. It is dropped if it is outdated, if it applies to an earlier incarnation
   * of the endpoint, or if the table is full and does not contain the endpoint yet. If the
   * timestamp is in the future because the observer's clock is ahead, the observation counts as
   * made now. Otherwise it would be retained in place of later observations.
   *
   * @return true if the observation was stored
   */
  public boolean merge(EndpointObservation received, long nowUs) {
    EndpointObservation observation = notInTheFuture(received, nowUs);
    if (nowUs - observation.observedUs() > maxAgeUs) {
      return false;
    }
    List<EndpointObservation> current = byEndpoint.get(observation.endpoint());
    if (current == null) {
      if (byEndpoint.size() >= maxEndpoints) {
        rejected++;
        return false;
      }
      current = new ArrayList<>(MAX_OBSERVERS + 1);
      byEndpoint.put(observation.endpoint(), current);
    }
    if (isOutdated(observation, current)) {
      return false;
    }
    current.removeIf(
        other ->
            other.observer().equals(observation.observer())
                || other.startedMs() < observation.startedMs());
    current.add(observation);
    current.sort(LATEST_FIRST);
    if (current.size() > MAX_OBSERVERS) {
      return !current.remove(MAX_OBSERVERS).equals(observation);
    }
    return true;
  }

  private static EndpointObservation notInTheFuture(EndpointObservation received, long nowUs) {
    if (received.observedUs() <= nowUs) {
      return received;
    }
    return new EndpointObservation(
        received.endpoint(),
        received.startedMs(),
        received.observer(),
        received.sequenceNumber(),
        nowUs,
        received.report(),
        received.consecutiveFailures());
  }

  private static boolean isOutdated(
      EndpointObservation observation, List<EndpointObservation> current) {
    if (!current.isEmpty() && current.get(0).startedMs() > observation.startedMs()) {
      return true;
    }
    for (EndpointObservation other : current) {
      if (other.observer().equals(observation.observer()) && !observation.replaces(other)) {
        return true;
      }
    }
    return false;
  }

  private List<EndpointObservation> of(String endpoint) {
    return byEndpoint.getOrDefault(endpoint, List.of());
  }

  /**
   * The latest observation of an endpoint that contains a load report and was made after {@code
   * sinceUs} by a broker other than {@code except}; empty if there is none.
   */
  public Optional<EndpointObservation> latestReport(String endpoint, long sinceUs, String except) {
    for (EndpointObservation observation : of(endpoint)) {
      if (!observation.observer().equals(except)
          && observation.observedUs() > sinceUs
          && !observation.report().isEmpty()) {
        return Optional.of(observation);
      }
    }
    return Optional.empty();
  }

  /** Whether any broker observed the endpoint since the given time, with or without a response. */
  public boolean observedSince(String endpoint, long sinceUs) {
    for (EndpointObservation observation : of(endpoint)) {
      if (observation.observedUs() >= sinceUs) {
        return true;
      }
    }
    return false;
  }

  /**
   * The number of brokers whose current observation of the endpoint has at least {@code threshold}
   * consecutive failures.
   */
  public int countFailing(String endpoint, int threshold) {
    int count = 0;
    for (EndpointObservation observation : of(endpoint)) {
      if (observation.consecutiveFailures() >= threshold) {
        count++;
      }
    }
    return count;
  }

  /** The number of brokers with a current observation of the endpoint. */
  public int countObservers(String endpoint) {
    return of(endpoint).size();
  }

  /** All current observations. */
  public List<EndpointObservation> all() {
    return byEndpoint.values().stream().flatMap(List::stream).toList();
  }

  /** Removes the observations that have reached the maximum age. */
  public void expire(long nowUs) {
    byEndpoint
        .values()
        .removeIf(
            observations -> {
              observations.removeIf(observation -> nowUs - observation.observedUs() > maxAgeUs);
              return observations.isEmpty();
            });
  }

  /** Removes the observations of an endpoint. */
  public void remove(String endpoint) {
    byEndpoint.remove(endpoint);
  }

  /** The number of observations that were dropped because the table was full. */
  public long rejected() {
    return rejected;
  }
}
