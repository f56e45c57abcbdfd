package dunlinhitch.cluster;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Coordinates one broker with the other members of its cluster: selects the endpoints that it sends
 * work to ({@link EndpointSubset}), decides which broker makes a health check ({@link
 * HealthCheckDuty}) and shares observations of endpoints ({@link SharedObservations}), based on the
 * active members ({@link ActiveMembers}). The load balancer chooses among the endpoints of the
 * subset.
 *
 * <p>Pure: it is driven by events and calls {@link Listener}. Not thread-safe; owned by the
 * reducer. Each event has two times in microseconds: {@code nowUs} of a monotonic clock, for
 * durations, and {@code wallUs} of the wall clock, which all brokers share, for duties and the age
 * of observations.
 */
public final class ClusterCoordinator {
  private static final long NEVER = Long.MAX_VALUE;

  /** Carries out the decisions of the coordinator, in the order of the calls. */
  public interface Listener extends MembershipProtocol.Transport {
    /** Sets the endpoints that new work is sent to. Also called if only the members changed. */
    void selectEndpoints(Set<String> stores);

    /** Starts a health check that was delegated to other brokers and is now due at this one. */
    void startHealthCheck(String store);

    /**
     * Ends a health check that was delegated to other brokers.
     *
     * @param store the endpoint
     * @param shared the observation that another broker shared, or null if there is no result
     */
    void healthCheckEnded(String store, EndpointObservation shared);
  }

  /**
   * One endpoint of the list.
   *
   * @param name its name, the same at all brokers
   * @param cell the cell that it serves
   * @param zone its zone, or empty
   * @param startedMs when it started, Unix time in milliseconds
   * @param usable whether new work may go to it
   */
  public record ListedEndpoint(
      String name, String cell, String zone, long startedMs, boolean usable) {}

  private final Listener listener;
  private final MembershipProtocol membership;
  private final ActiveMembers activeMembers;
  private final SharedObservations observations;
  private final EndpointSubset subset;
  private final HealthCheckDuty healthChecks;

  /**
   * Creates a coordinator that knows no endpoints and no other members.
   *
   * @param self this broker as it announces itself
   * @param seeds the addresses to join at; may contain this broker's own
   * @param settings the times and bounds
   * @param seed seeds the random choices of the membership protocol
   * @param nowUs the current time of the monotonic clock
   * @param listener carries out what the coordinator asks for
   */
  public ClusterCoordinator(
      Member self,
      List<MembershipProtocol.Seed> seeds,
      ClusterSettings settings,
      long seed,
      long nowUs,
      Listener listener) {
    this.listener = listener;
    observations = new SharedObservations(self.name(), settings);
    membership =
        new MembershipProtocol(
            self,
            seeds,
            settings.membership(),
            seed,
            nowUs,
            listener,
            observations::nextToPiggyback);
    activeMembers = new ActiveMembers(self, membership.snapshot());
    subset = new EndpointSubset(settings.subsets(), activeMembers, observations);
    healthChecks =
        new HealthCheckDuty(
            settings, activeMembers, membership, observations, subset.endpoints(), listener);
  }

  /**
   * Fences the given members, which act on outdated versions: no duty or endpoint is assigned to
   * them.
   */
  public void fence(Set<String> names) {
    activeMembers.fence(names);
    update();
  }

  /** The members that duties and subsets are assigned to. */
  public Set<String> members() {
    return activeMembers.names();
  }

  /** The membership protocol of this broker. */
  public MembershipProtocol membership() {
    return membership;
  }

  /** The membership that the last decision was based on. */
  public ClusterSnapshot snapshot() {
    return activeMembers.snapshot();
  }

  /** The observations of endpoints by this and other brokers. */
  public ObservationTable observations() {
    return observations.table();
  }

  /** The endpoints that this broker sends work to. */
  public Set<String> selectedEndpoints() {
    return subset.selected();
  }

  /** The number of changes of {@link #selectedEndpoints()}. */
  public long changes() {
    return subset.changes();
  }

  /** The number of health checks that this broker made in place of another. */
  public long takenOver() {
    return healthChecks.takenOver();
  }

  /**
   * Handles a change of the endpoint list.
   *
   * @param nowUs the current time
   * @param changed endpoints that were added or updated
   * @param removed names of the endpoints that were removed
   */
  public void onEndpointsChanged(
      long nowUs, Collection<ListedEndpoint> changed, Collection<String> removed) {
    for (ListedEndpoint endpoint : changed) {
      ListedEndpoint before = subset.put(endpoint);
      if (before != null && before.startedMs() != endpoint.startedMs()) {
        observations.resetFailures(endpoint.name());
      }
    }
    for (String name : removed) {
      subset.remove(name);
      observations.forget(name);
      healthChecks.cancel(name);
    }
    update();
  }

  /** Handles a message of another broker. */
  public void onMessage(long nowUs, long wallUs, GossipMessage message) {
    membership.onMessage(nowUs, message);
    for (EndpointObservation observation : message.observations()) {
      if (observations.receive(observation, wallUs)) {
        subset.markChanged(observation.endpoint());
      }
    }
    healthChecks.completeFromObservations();
    update();
  }

  /**
   * Handles the outcome of an attempt that this broker made at an endpoint.
   *
   * @param wallUs the current time of the wall clock
   * @param store the endpoint; ignored if it is not listed
   * @param answered whether it responded
   * @param report the load report of the response, or empty
   */
  public void onAttempt(long wallUs, String store, boolean answered, List<Float> report) {
    ListedEndpoint endpoint = subset.endpoints().get(store);
    if (endpoint == null) {
      return;
    }
    if (observations.recordAttempt(endpoint, answered, report, wallUs)) {
      subset.markChanged(store);
      update();
    }
  }

  /** Handles the outcome of a health check that this broker made; it is shared at once. */
  public void onHealthCheckCompleted(
      long wallUs, String store, boolean answered, List<Float> report) {
    observations.resetSharingInterval(store);
    onAttempt(wallUs, store, answered, report);
  }

  /**
   * Requests a health check of an endpoint on behalf of the load balancer.
   *
   * @return true if this broker is to make it now; false if it is delegated to another broker: then
   *     {@link Listener#healthCheckEnded} reports the result, or {@link Listener#startHealthCheck}
   *     returns it to this broker
   */
  public boolean mayHealthCheck(long wallUs, String store) {
    return healthChecks.request(store, wallUs);
  }

  /** Handles the timeouts that are due. */
  public void onTime(long nowUs, long wallUs) {
    membership.onTime(nowUs);
    observations.table().expire(wallUs);
    healthChecks.onTime(wallUs);
    update();
  }

  /** When {@link #onTime} is to be called next, on the monotonic clock. */
  public long nextUs(long nowUs, long wallUs) {
    long next = membership.nextUs();
    long nextCheckUs = healthChecks.nextWallUs();
    if (nextCheckUs == NEVER) {
      return next;
    }
    return Math.min(next, nowUs + Math.max(0, nextCheckUs - wallUs));
  }

  /** Notifies the other members that this broker shuts down. */
  public void leave() {
    membership.leave();
  }

  /**
   * Updates the subset after changes of the members, the endpoint list or the failing endpoints.
   */
  private void update() {
    boolean membersChanged = activeMembers.refresh(membership.snapshot());
    if (membersChanged) {
      subset.markAllChanged();
    }
    boolean subsetChanged = subset.hasChanges() && subset.update();
    if (subsetChanged || membersChanged) {
      listener.selectEndpoints(subset.selected());
    }
  }
}
