package dunlinhitch.cluster;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * Coordinates this broker with the other members of its cluster. It selects the endpoints that this
 * broker sends work to ({@link EndpointSubset}), decides which broker performs a health check
 * ({@link HealthCheckDuty}) and shares observations of endpoints ({@link SharedObservations}). All
 * three are based on the active members ({@link ActiveMembers}). The load balancer chooses among
 * the endpoints of the subset.
 *
 * <p>Pure: the input is method calls, and the output is calls of {@link Listener}. Not thread-safe;
 * owned by the reducer. Events pass up to two times in microseconds: {@code nowUs} is the time of a
 * monotonic clock and is used for durations; {@code wallUs} is the time of the wall clock, which
 * the brokers have in common, and is used for duties and the age of observations.
 */
public final class ClusterCoordinator {
  private static final long NEVER = Long.MAX_VALUE;

  /** Carries out the decisions of the coordinator, in the order of the calls. */
  public interface Listener extends MembershipProtocol.Transport {
    /**
     * Sets the endpoints that new work is sent to. Also called if the members changed but the
     * endpoints did not.
     */
    void selectEndpoints(Set<String> stores);

    /**
     * Starts a health check that was delegated to another broker but now has to be performed by
     * this broker.
     */
    void startHealthCheck(String store);

    /**
     * Ends a health check that was delegated to other brokers.
     *
     * @param store the endpoint
     * @param shared the result, as observed and shared by another broker; null if there is none
     */
    void healthCheckEnded(String store, EndpointObservation shared);
  }

  /**
   * One endpoint of the endpoint list.
   *
   * @param name the endpoint's name, the same at all brokers
   * @param cell the cell that the endpoint serves
   * @param zone the endpoint's zone, or empty
   * @param startedMs when the endpoint started, Unix time in milliseconds
   * @param usable whether new work may be sent to the endpoint
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
   * Creates a coordinator with an empty endpoint list and this broker as the only member.
   *
   * @param self this broker as it announces itself
   * @param seeds the addresses of other brokers to which joins are sent; may contain this broker's
   *     address
   * @param settings the times and bounds
   * @param seed the seed of the membership protocol's random number generator
   * @param nowUs the current time of the monotonic clock
   * @param listener receives the decisions of the coordinator
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
   * Fences the given members, which run with outdated versions: no duties or endpoints are assigned
   * to them.
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

  /** The membership snapshot on which the last decision was based. */
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

  /**
   * The number of health checks that this broker performed because the responsible broker had not
   * performed them in time.
   */
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

  /** Handles a gossip message from another broker. */
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
   * @param answered whether the endpoint responded
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

  /**
   * Handles the outcome of a health check that this broker performed, and shares it immediately.
   */
  public void onHealthCheckCompleted(
      long wallUs, String store, boolean answered, List<Float> report) {
    observations.resetSharingInterval(store);
    onAttempt(wallUs, store, answered, report);
  }

  /**
   * Requests a health check of an endpoint on behalf of the load balancer.
   *
   * @return true if this broker has to perform the health check now; false if the check is
   *     delegated to another broker. If it is delegated, {@link Listener#healthCheckEnded} reports
   *     the result later, or {@link Listener#startHealthCheck} asks this broker to perform the
   *     check itself
   */
  public boolean mayHealthCheck(long wallUs, String store) {
    return healthChecks.request(store, wallUs);
  }

  /** Handles all timeouts that are due at the given times. */
  public void onTime(long nowUs, long wallUs) {
    membership.onTime(nowUs);
    observations.table().expire(wallUs);
    healthChecks.onTime(wallUs);
    update();
  }

  /** The latest time at which {@link #onTime} must be called, on the monotonic clock. */
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
