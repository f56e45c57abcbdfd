package dunlinhitch.cluster;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * What one broker does as a member of a cluster: which endpoints it sends work to ({@link
 * EndpointSubset}), whose duty a health check is ({@link HealthCheckDuty}), and what it shares of
 * its observations ({@link SharedObservations}), all by the members that it goes by ({@link
 * ActiveMembers}). The choice among the endpoints of the subset is the load balancer's.
 *
 * <p>Pure: events in, {@link Transport} called. Not thread-safe; the reducer owns it. Each event
 * has two times in microseconds: {@code nowUs} of a monotonic clock, for durations, and {@code
 * dayUs} of the wall clock, which brokers share, for duties and the age of observations.
 */
public final class ClusterCoordinator {
  private static final long NEVER = Long.MAX_VALUE;

  /** What the coordinator asks for; carried out in the order in which it was called. */
  public interface Out extends MembershipProtocol.Transport {
    /**
     * Work goes to these endpoints of the list from now on; called too where only the members
     * changed.
     */
    void selectEndpoints(Set<String> stores);

    /** A health check that was left to others is to be made by this broker after all. */
    void startHealthCheck(String store);

    /**
     * A health check that was left to others ended.
     *
     * @param store the endpoint
     * @param seen the load report that another broker shared, or null
     */
    void healthCheckEnded(String store, EndpointObservation seen);
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

  private final Out out;
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
   * @param out carries out what the coordinator asks for
   */
  public ClusterCoordinator(
      Member self,
      List<MembershipProtocol.Seed> seeds,
      ClusterSettings settings,
      long seed,
      long nowUs,
      Out out) {
    this.out = out;
    observations = new SharedObservations(self.name(), settings);
    membership =
        new MembershipProtocol(
            self, seeds, settings.membership(), seed, nowUs, out, observations::nextToPiggyback);
    activeMembers = new ActiveMembers(self, membership.snapshot());
    subset = new EndpointSubset(settings.subsets(), activeMembers, observations);
    healthChecks =
        new HealthCheckDuty(
            settings, activeMembers, membership, observations, subset.endpoints(), out);
  }

  /** Fences these members: they act on outdated versions, and nothing is assigned to them. */
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

  /** The observations of endpoints, this broker's and those of others. */
  public ObservationTable observations() {
    return observations.table();
  }

  /** The endpoints that this broker sends work to. */
  public Set<String> selectedEndpoints() {
    return subset.selected();
  }

  /** How often the endpoints that this broker sends work to changed. */
  public long changes() {
    return subset.changes();
  }

  /** Health checks that this broker made in place of another. */
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
  public void onMessage(long nowUs, long dayUs, GossipMessage message) {
    membership.onMessage(nowUs, message);
    for (EndpointObservation observation : message.observations()) {
      if (observations.receive(observation, dayUs)) {
        subset.markChanged(observation.endpoint());
      }
    }
    healthChecks.completeFromObservations();
    update();
  }

  /**
   * Handles the outcome of an attempt that this broker made at an endpoint.
   *
   * @param dayUs the current time of the wall clock
   * @param store the endpoint; ignored where it is not listed
   * @param answered whether it responded
   * @param report the load report of the response, or empty
   */
  public void onAttempt(long dayUs, String store, boolean answered, List<Float> report) {
    ListedEndpoint endpoint = subset.endpoints().get(store);
    if (endpoint == null) {
      return;
    }
    if (observations.recordAttempt(endpoint, answered, report, dayUs)) {
      subset.markChanged(store);
      update();
    }
  }

  /** Handles the outcome of a health check that this broker made; it is shared at once. */
  public void onHealthCheckCompleted(
      long dayUs, String store, boolean answered, List<Float> report) {
    observations.resetSharingInterval(store);
    onAttempt(dayUs, store, answered, report);
  }

  /**
   * The load balancer wants a health check of an endpoint.
   *
   * @return true where this broker is to make it now; false where it is another's duty, and then
   *     {@link Transport#healthCheckEnded} gives the result or {@link Transport#startHealthCheck}
   *     says that it is this broker's after all
   */
  public boolean mayHealthCheck(long dayUs, String store) {
    return healthChecks.request(store, dayUs);
  }

  /** Handles the timeouts that are due. */
  public void onTime(long nowUs, long dayUs) {
    membership.onTime(nowUs);
    observations.table().expire(dayUs);
    healthChecks.onTime(dayUs);
    update();
  }

  /** When {@link #onTime} is to be called next, on the monotonic clock. */
  public long nextUs(long nowUs, long dayUs) {
    long next = membership.nextUs();
    long nextCheckUs = healthChecks.nextWallUs();
    if (nextCheckUs == NEVER) {
      return next;
    }
    return Math.min(next, nowUs + Math.max(0, nextCheckUs - dayUs));
  }

  /** This broker shuts down; the other members are notified. */
  public void leave() {
    membership.leave();
  }

  /** Brings the subset in line with the members, the endpoint list and the failing endpoints. */
  private void update() {
    boolean membersChanged = activeMembers.refresh(membership.snapshot());
    if (membersChanged) {
      subset.markAllChanged();
    }
    boolean subsetChanged = subset.hasChanges() && subset.update();
    if (subsetChanged || membersChanged) {
      out.selectEndpoints(subset.selected());
    }
  }
}
