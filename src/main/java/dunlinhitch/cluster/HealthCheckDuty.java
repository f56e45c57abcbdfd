package dunlinhitch.cluster;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides which broker performs the health check of an endpoint. In each epoch one broker performs
 * the check and shares the result: the leader according to {@link DutyRotation}, or the next broker
 * in the order if the leader has not announced the check in time.
 *
 * <p>Not thread-safe; owned by {@link ClusterCoordinator}. Times are microseconds of the wall
 * clock, which all brokers share.
 */
final class HealthCheckDuty {
  /**
   * The maximum number of pending health checks. Further requests end immediately without a result.
   */
  private static final int MAX_PENDING = 64;

  /**
   * A health check that this broker requested and that another broker is expected to perform.
   *
   * @param sinceWallUs when the check was requested
   * @param dueWallUs when this broker has to perform the check itself, or {@link Long#MAX_VALUE} if
   *     never
   * @param endWallUs when the check ends without a result
   */
  private record PendingCheck(long sinceWallUs, long dueWallUs, long endWallUs) {}

  private final DutyRotation rotation;
  private final long epochUs;
  private final ActiveMembers members;
  private final MembershipProtocol membership;
  private final SharedObservations observations;
  private final Map<String, ClusterCoordinator.ListedEndpoint> endpoints;
  private final ClusterCoordinator.Listener listener;
  private final Map<String, PendingCheck> pending = new LinkedHashMap<>();
  private long takenOver;

  /**
   * Creates an instance without pending checks; {@code endpoints} is a live view of the endpoint
   * list by name.
   */
  HealthCheckDuty(
      ClusterSettings settings,
      ActiveMembers members,
      MembershipProtocol membership,
      SharedObservations observations,
      Map<String, ClusterCoordinator.ListedEndpoint> endpoints,
      ClusterCoordinator.Listener listener) {
    rotation = new DutyRotation(settings.epochUs(), settings.takeoverDelayUs());
    epochUs = settings.epochUs();
    this.members = members;
    this.membership = membership;
    this.observations = observations;
    this.endpoints = endpoints;
    this.listener = listener;
  }

  /**
   * The number of health checks that this broker performed because the responsible broker had not
   * performed them in time.
   */
  long takenOver() {
    return takenOver;
  }

  /** Requests a health check; see {@link ClusterCoordinator#mayHealthCheck}. */
  boolean request(String endpoint, long wallUs) {
    if (pending.containsKey(endpoint)) {
      return false;
    }
    if (!endpoints.containsKey(endpoint)) {
      return true;
    }
    long epoch = rotation.epochOf(endpoint, wallUs);
    long epochStartUs = rotation.epochStartUs(endpoint, epoch);
    long dueUs = isDone(endpoint, epoch, wallUs) ? Long.MAX_VALUE : dueUs(endpoint, epoch);
    if (dueUs <= wallUs) {
      takenOver += dueUs > epochStartUs ? 1 : 0;
      announce(endpoint, epoch, wallUs);
      return true;
    }
    long endUs = epochStartUs + epochUs;
    if (dueUs >= endUs) {
      // The check is not due at this broker in this epoch, but may be due in the next one.
      dueUs = dueUs(endpoint, epoch + 1);
      endUs += epochUs;
    }
    if (pending.size() >= MAX_PENDING) {
      listener.healthCheckEnded(endpoint, null);
      return false;
    }
    pending.put(endpoint, new PendingCheck(wallUs, dueUs, endUs));
    completeFromObservations();
    return false;
  }

  private boolean isDone(String endpoint, long epoch, long wallUs) {
    long sinceUs = Math.min(rotation.epochStartUs(endpoint, epoch), wallUs - epochUs / 2);
    return observations.table().observedSince(endpoint, sinceUs);
  }

  private long dueUs(String endpoint, long epoch) {
    return rotation.dueUs(
        endpoint, epoch, members.names(), members.self(), members.snapshot().isolated());
  }

  /**
   * Announces that this broker performs the health check of this epoch; from then on the check
   * counts as done. The next brokers in the order are notified directly, because a piggybacked
   * update could reach them only after they have taken over the check.
   */
  private void announce(String endpoint, long epoch, long wallUs) {
    observations.share(endpoints.get(endpoint), List.of(), wallUs);
    int remaining = rotation.maxSubstitutes();
    for (String name : rotation.order(endpoint, epoch, members.names())) {
      if (remaining == 0) {
        return;
      }
      if (!name.equals(members.self())) {
        membership.sendUpdates(name);
        remaining--;
      }
    }
  }

  /**
   * Starts the pending health checks that are due at this broker, and ends the expired ones without
   * a result.
   */
  void onTime(long wallUs) {
    for (Map.Entry<String, PendingCheck> entry : List.copyOf(pending.entrySet())) {
      PendingCheck check = entry.getValue();
      String endpoint = entry.getKey();
      if (wallUs >= check.dueWallUs() && pending.remove(endpoint) != null) {
        takeTurn(endpoint, wallUs);
      } else if (wallUs >= check.endWallUs() && pending.remove(endpoint) != null) {
        listener.healthCheckEnded(endpoint, null);
      }
    }
  }

  private void takeTurn(String endpoint, long wallUs) {
    long epoch = rotation.epochOf(endpoint, wallUs);
    if (isDone(endpoint, epoch, wallUs)) {
      listener.healthCheckEnded(endpoint, null);
      return;
    }
    takenOver++;
    announce(endpoint, epoch, wallUs);
    listener.startHealthCheck(endpoint);
  }

  /** Completes the pending health checks for which another broker has shared a load report. */
  void completeFromObservations() {
    for (Map.Entry<String, PendingCheck> entry : List.copyOf(pending.entrySet())) {
      String endpoint = entry.getKey();
      long sinceUs = entry.getValue().sinceWallUs() - epochUs;
      Optional<EndpointObservation> shared =
          observations.table().latestReport(endpoint, sinceUs, members.self());
      if (shared.isPresent() && pending.remove(endpoint) != null) {
        listener.healthCheckEnded(endpoint, shared.get());
      }
    }
  }

  /** Ends the health check of an endpoint that was removed from the list. */
  void cancel(String endpoint) {
    if (pending.remove(endpoint) != null) {
      listener.healthCheckEnded(endpoint, null);
    }
  }

  /**
   * The earliest time at which a pending health check is due or expires; {@link Long#MAX_VALUE} if
   * none is pending.
   */
  long nextWallUs() {
    long next = Long.MAX_VALUE;
    for (PendingCheck check : pending.values()) {
      next = Math.min(next, Math.min(check.dueWallUs(), check.endWallUs()));
    }
    return next;
  }
}
