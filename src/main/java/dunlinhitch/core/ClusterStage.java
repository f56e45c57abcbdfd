package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.ServerEntry;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.cluster.ClusterCoordinator;
import dunlinhitch.cluster.EndpointObservation;
import dunlinhitch.cluster.GossipMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;

/**
 * Connects the {@link ClusterCoordinator} to the load balancer, to health checks and to the edges.
 * Owned by the reducer; not thread-safe. The class is loaded only if the broker is part of a
 * cluster.
 */
final class ClusterStage {
  private static final float[] NO_REPORT = {};

  /** Maximum number of names listed in a log line; longer lists are logged as a count only. */
  private static final int MAX_LISTED_NAMES = 24;

  private final ReducerState state;
  private final TurnContext context;
  private final InFlightRegistry registry;
  private final Counters counters;
  private final BalancerGateway balancer;
  private final HealthCheckStage healthChecks;
  private final long wallClockOffsetUs;
  private final SubsetPublisher subsetPublisher;
  private final ClusterCoordinator coordinator;
  private final VersionSkewMonitor versionSkew;

  ClusterStage(
      ClusterIdentity identity,
      long seed,
      ReducerState state,
      BalancerGateway balancer,
      HealthCheckStage healthChecks) {
    this.state = state;
    this.balancer = balancer;
    this.healthChecks = healthChecks;
    context = state.context();
    registry = state.registry();
    counters = state.counters();
    wallClockOffsetUs = identity.wallClockOffsetUs();
    subsetPublisher = new SubsetPublisher(state, balancer);
    coordinator =
        new ClusterCoordinator(
            identity.self(),
            identity.seeds(),
            identity.settings(),
            seed,
            context.nowUs(),
            new CoordinatorActions());
    versionSkew =
        new VersionSkewMonitor(identity, coordinator, state, subsetPublisher::publishChanges);
  }

  /**
   * True while this broker's settings or endpoint list are too far out of date for safe decisions.
   * A fenced broker admits no queries.
   */
  boolean isFenced() {
    return versionSkew.isFenced();
  }

  private long wallClockUs() {
    return context.nowUs() + wallClockOffsetUs;
  }

  void handle(Event.ClusterEvent event) {
    if (event instanceof Event.GossipReceived received) {
      onGossip(received.message());
    } else if (event instanceof Event.EndpointListGenerationChanged changed) {
      versionSkew.onEndpointListGeneration(changed.generation());
    } else if (event instanceof Event.ConfigurationFileChanged changed) {
      versionSkew.onConfigurationFileChanged(changed.writtenMs());
    }
  }

  private void onGossip(GossipMessage message) {
    coordinator.onMessage(context.nowUs(), wallClockUs(), message);
    versionSkew.onGossip(message);
    subsetPublisher.publishChanges();
  }

  void onSettingsReloaded(Settings settings) {
    versionSkew.onSettingsReloaded(settings);
  }

  /**
   * Forwards an event of the endpoint stage to the load balancer, restricted to this broker's
   * subset.
   */
  void onEndpointsChanged(BalancerEvent event) {
    if (!(event instanceof BalancerEvent.ServerListUpdated update)) {
      balancer.deliverWhenIdle(event);
      return;
    }
    List<ClusterCoordinator.ListedEndpoint> listed = new ArrayList<>();
    List<String> removed = new ArrayList<>();
    for (ServerEntry entry : update.servers()) {
      TrackedEndpoint endpoint = registry.endpoints.get(entry.id());
      String name = endpoint.name();
      subsetPublisher.track(entry);
      if (entry.state() == ServerState.GONE) {
        removed.add(name);
      } else {
        listed.add(listedEndpoint(endpoint, entry));
      }
    }
    coordinator.onEndpointsChanged(context.nowUs(), listed, removed);
    subsetPublisher.publish(update);
  }

  /**
   * Creates the cluster coordinator's entry for an endpoint. The members identify an endpoint's
   * process by its start time, so the entry contains the start time reported by discovery, which is
   * the same for all members.
   */
  private ClusterCoordinator.ListedEndpoint listedEndpoint(
      TrackedEndpoint endpoint, ServerEntry entry) {
    long reportedUs = endpoint.endpoint.startedUs();
    long startedMs = reportedUs <= 0 ? 0 : (reportedUs + wallClockOffsetUs) / 1000;
    return new ClusterCoordinator.ListedEndpoint(
        endpoint.name(),
        Integer.toString(entry.cell()),
        Integer.toString(entry.zone()),
        startedMs,
        entry.state() == ServerState.READY);
  }

  /** Advances the state of the cluster to the time of this turn. */
  void advance() {
    if (coordinator.nextUs(context.nowUs(), wallClockUs()) <= context.nowUs()) {
      coordinator.onTime(context.nowUs(), wallClockUs());
      subsetPublisher.publishChanges();
    }
    versionSkew.advance();
  }

  /** The latest time at which {@link #advance} must be called, in microseconds. */
  long nextUs() {
    return Math.min(versionSkew.nextUs(), coordinator.nextUs(context.nowUs(), wallClockUs()));
  }

  void onAttemptEnded(TrackedEndpoint endpoint, AttemptOutcome outcome, float[] report) {
    if (endedByEndpoint(outcome)) {
      coordinator.onAttempt(wallClockUs(), endpoint.name(), responded(outcome), toList(report));
      subsetPublisher.publishChanges();
    }
  }

  void onHealthCheckEnded(TrackedEndpoint endpoint, AttemptOutcome outcome, float[] report) {
    if (endedByEndpoint(outcome)) {
      coordinator.onHealthCheckCompleted(
          wallClockUs(), endpoint.name(), responded(outcome), toList(report));
      subsetPublisher.publishChanges();
    }
  }

  private static boolean endedByEndpoint(AttemptOutcome outcome) {
    return outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.MOOT;
  }

  private static boolean responded(AttemptOutcome outcome) {
    return switch (outcome) {
      case OK, ERROR, FULL -> true;
      case TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT -> false;
    };
  }

  private static List<Float> toList(float[] report) {
    return IntStream.range(0, report.length).mapToObj(i -> report[i]).toList();
  }

  /**
   * True if this broker must send the health check. Otherwise another broker sends it, and its
   * result is delivered to this broker later.
   */
  boolean mayCheck(TrackedEndpoint endpoint) {
    boolean own = coordinator.mayHealthCheck(wallClockUs(), endpoint.name());
    counters.add(own ? Counter.HEALTH_CHECKS_OWN : Counter.HEALTH_CHECKS_DELEGATED);
    return own;
  }

  /** Announces to the other members that this broker is leaving. */
  void leave() {
    coordinator.leave();
  }

  private void logMembership() {
    Set<String> members = coordinator.members();
    Set<String> subset = subsetPublisher.subset();
    long ready =
        registry.endpoints.values().stream()
            .filter(endpoint -> endpoint.state() == ServerState.READY)
            .count();
    context.log(
        "fleet of "
            + members.size()
            + (members.size() <= MAX_LISTED_NAMES ? ": " + String.join(" ", members) : "")
            + "; keeps to "
            + subset.size()
            + " of "
            + ready
            + " stores"
            + (subset.size() <= MAX_LISTED_NAMES
                ? ": " + String.join(" ", new TreeSet<>(subset))
                : ""));
  }

  private final class CoordinatorActions implements ClusterCoordinator.Listener {
    @Override
    public void send(String host, int port, GossipMessage message) {
      context.emit(new Effect.SendGossip(host, port, message));
    }

    @Override
    public void selectEndpoints(Set<String> names) {
      boolean changed = subsetPublisher.replaceSubset(names);
      counters.add(Counter.SUBSETS_CHANGED, changed ? 1 : 0);
      logMembership();
    }

    @Override
    public void startHealthCheck(String name) {
      TrackedEndpoint endpoint = registry.endpointsByName.get(name);
      if (endpoint != null) {
        counters.add(Counter.HEALTH_CHECKS_OWN);
        healthChecks.send(endpoint);
      }
    }

    @Override
    public void healthCheckEnded(String name, EndpointObservation observation) {
      TrackedEndpoint endpoint = registry.endpointsByName.get(name);
      if (endpoint == null) {
        return;
      }
      boolean reported = observation != null && !observation.report().isEmpty();
      state
          .deferredEvents()
          .defer(
              new BalancerEvent.HealthCheckCompleted(
                  endpoint.number,
                  reported ? AttemptOutcome.OK : AttemptOutcome.MOOT,
                  0,
                  reported ? observation.values() : NO_REPORT));
    }
  }
}
