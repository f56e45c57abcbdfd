package dunlinhitch.cluster;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records this broker's observations of endpoints and shares them with the other brokers. Also
 * receives the observations of other brokers and forwards them.
 *
 * <p>Not thread-safe; owned by {@link ClusterCoordinator}. Times are microseconds of the wall
 * clock.
 */
final class SharedObservations {
  /**
   * The number of consecutive attempts without a response after which an endpoint counts as
   * failing.
   */
  static final int FAILURE_THRESHOLD = 3;

  /**
   * The number of brokers that must observe failures of an endpoint before the endpoint counts as
   * failing at all brokers. A failure that a single broker observes may be a failure of that
   * broker's network connection.
   */
  private static final int FAILURE_QUORUM = 2;

  /** The maximum number of observations in one message. */
  private static final int MAX_PIGGYBACKED = 8;

  /** The number of messages in which one observation is transmitted. */
  private static final int TRANSMISSIONS = 6;

  private static final class PendingObservation {
    private final EndpointObservation observation;
    private int remainingTransmissions = TRANSMISSIONS;

    PendingObservation(EndpointObservation observation) {
      this.observation = observation;
    }
  }

  private final String self;
  private final int maxEndpoints;
  private final long minimumIntervalUs;
  private final ObservationTable table;
  private final Map<String, Integer> consecutiveFailures = new HashMap<>();
  private final Map<String, Long> lastSequenceNumbers = new HashMap<>();
  private final Map<String, Long> lastSharedUs = new HashMap<>();

  /** The observations to piggyback, the newest first. */
  private final Deque<PendingObservation> pending = new ArrayDeque<>();

  SharedObservations(String self, ClusterSettings settings) {
    this.self = self;
    maxEndpoints = settings.maxEndpoints();
    minimumIntervalUs = settings.epochUs();
    table = new ObservationTable(settings.maxEndpoints(), settings.maxAgeUs());
  }

  /** All current observations, including this broker's own. */
  ObservationTable table() {
    return table;
  }

  /**
   * Merges an observation received from another broker. If the observation is new, queues it for
   * forwarding and returns true.
   */
  boolean receive(EndpointObservation observation, long wallUs) {
    if (observation.observer().equals(self) || !table.merge(observation, wallUs)) {
      return false;
    }
    enqueue(observation);
    return true;
  }

  /**
   * Records the outcome of an attempt by this broker. Load reports are shared at most once per
   * epoch, to avoid the cost of sharing one for each response. A change of an endpoint from working
   * to failing or back is shared immediately.
   *
   * @return true if the endpoint changed from working to failing or back
   */
  boolean recordAttempt(
      ClusterCoordinator.ListedEndpoint endpoint,
      boolean answered,
      List<Float> report,
      long wallUs) {
    String name = endpoint.name();
    int failuresBefore = consecutiveFailures.getOrDefault(name, 0);
    int failures = answered ? 0 : failuresBefore + 1;
    if (failures == 0) {
      consecutiveFailures.remove(name);
    } else {
      consecutiveFailures.put(name, failures);
    }
    boolean failingChanged =
        (failuresBefore >= FAILURE_THRESHOLD) != (failures >= FAILURE_THRESHOLD);
    boolean hasNewReport = answered && !report.isEmpty() && isSharingDue(name, wallUs);
    if (failingChanged || hasNewReport) {
      lastSharedUs.put(name, wallUs);
      share(endpoint, report, wallUs);
    }
    return failingChanged;
  }

  private boolean isSharingDue(String endpoint, long wallUs) {
    Long last = lastSharedUs.get(endpoint);
    return last == null || wallUs - last >= minimumIntervalUs;
  }

  /** Resets the time of the last sharing, so that the next outcome is shared immediately. */
  void resetSharingInterval(String endpoint) {
    lastSharedUs.remove(endpoint);
  }

  /** Shares an observation by this broker, with its current count of consecutive failures. */
  void share(ClusterCoordinator.ListedEndpoint endpoint, List<Float> report, long wallUs) {
    EndpointObservation observation =
        new EndpointObservation(
            endpoint.name(),
            endpoint.startedMs(),
            self,
            lastSequenceNumbers.merge(endpoint.name(), 1L, Long::sum),
            wallUs,
            report,
            consecutiveFailures.getOrDefault(endpoint.name(), 0));
    table.merge(observation, wallUs);
    enqueue(observation);
  }

  private void enqueue(EndpointObservation observation) {
    pending.addFirst(new PendingObservation(observation));
    while (pending.size() > maxEndpoints) {
      pending.removeLast();
    }
  }

  /**
   * Returns the observations for the next message, up to the given number of bytes, and counts one
   * transmission of each.
   */
  List<EndpointObservation> nextToPiggyback(int maxBytes) {
    List<EndpointObservation> chosen = new ArrayList<>();
    int remaining = maxBytes;
    for (PendingObservation next : pending) {
      remaining -= next.observation.bytes();
      if (chosen.size() == MAX_PIGGYBACKED || remaining < 0) {
        break;
      }
      next.remainingTransmissions--;
      chosen.add(next.observation);
    }
    pending.removeIf(transmitted -> transmitted.remainingTransmissions <= 0);
    return chosen;
  }

  /**
   * Whether an endpoint counts as failing, according either to this broker's own attempts or to the
   * observations of at least {@link #FAILURE_QUORUM} brokers.
   */
  boolean isFailing(String endpoint) {
    return consecutiveFailures.getOrDefault(endpoint, 0) >= FAILURE_THRESHOLD
        || table.countFailing(endpoint, FAILURE_THRESHOLD) >= FAILURE_QUORUM;
  }

  /** Resets the failure count of an endpoint that was restarted. */
  void resetFailures(String endpoint) {
    consecutiveFailures.remove(endpoint);
  }

  /** Removes the state of an endpoint that was removed from the endpoint list. */
  void forget(String endpoint) {
    consecutiveFailures.remove(endpoint);
    lastSequenceNumbers.remove(endpoint);
    lastSharedUs.remove(endpoint);
    table.remove(endpoint);
  }
}
