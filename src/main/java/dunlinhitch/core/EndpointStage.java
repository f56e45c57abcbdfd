package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.ServerEntry;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.ShardLayout;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointChange;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.endpoints.EndpointRegistry;
import dunlinhitch.endpoints.EndpointRegistrySettings;
import dunlinhitch.endpoints.EndpointStatus;
import dunlinhitch.endpoints.TimingWheel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Connects the sources of endpoint lists to the load balancer. The {@link EndpointRegistry} derives
 * changes from the claims of the sources. This stage applies these changes to the endpoints in
 * {@link InFlightRegistry}, emits effects for the edges, and delivers one event to the load
 * balancer. Owned by the reducer; not thread-safe.
 */
final class EndpointStage {
  /** The name of the platform's own source, whose list is accepted without conflict checks. */
  static final String DISCOVERY = "discovery";

  private static final int DISCOVERY_RANK = 0;

  /**
   * Notification time in the distant past, for an endpoint that has no grace period for draining.
   */
  private static final long LONG_PAST = Long.MIN_VALUE / 2;

  private final EndpointRegistry endpointRegistry;
  private final TurnContext context;
  private final InFlightRegistry registry;
  private final Counters counters;
  private final DiscoveryFreshness freshness;
  private final StartTimes startTimes = new StartTimes();
  private final Consumer<BalancerEvent> balancer;

  /** Endpoints that were removed from the list but still have attempts in flight. */
  private final Set<TrackedEndpoint> departing = new HashSet<>();

  private int lastNumber;

  /**
   * Creates the stage.
   *
   * @param claimSettings rules for claims; null for the defaults derived from the layout
   * @param balancer receives the events that result from changes of the endpoint list
   */
  EndpointStage(
      ReducerState state,
      EndpointRegistrySettings claimSettings,
      Consumer<BalancerEvent> balancer) {
    context = state.context();
    registry = state.registry();
    counters = state.counters();
    freshness = new DiscoveryFreshness(context, counters);
    this.balancer = balancer;
    ShardLayout layout = context.settings().layout();
    endpointRegistry =
        new EndpointRegistry(
            claimSettings == null
                ? EndpointRegistrySettings.of(layout.cells(), layout.replicationFactor())
                : claimSettings,
            context.nowUs());
    endpointRegistry.registerSource(DISCOVERY, DISCOVERY_RANK, true);
  }

  EndpointRegistry endpointRegistry() {
    return endpointRegistry;
  }

  /** Allocates the number for a new endpoint. */
  int nextNumber() {
    return ++lastNumber;
  }

  void handle(Event.EndpointEvent event) {
    if (event instanceof Event.EndpointsUpdated updated) {
      onEndpointsUpdated(updated);
    } else if (event instanceof Event.DiscoveryUnavailable unavailable) {
      freshness.onUnavailable(unavailable.sinceUs());
    } else if (event instanceof Event.DiscoveryRecovered) {
      freshness.onRecovered();
    } else if (event instanceof Event.SourceRegistered registered) {
      endpointRegistry.registerSource(registered.source(), registered.rank(), false);
    } else if (event instanceof Event.SourceUpdated updated) {
      onSourceUpdated(updated);
    } else if (event instanceof Event.SourceUnavailable unavailable) {
      onSourceUnavailable(unavailable);
    }
  }

  private void onEndpointsUpdated(Event.EndpointsUpdated event) {
    counters.add(Counter.ENDPOINT_UPDATES);
    long nowUs = context.nowUs();
    List<EndpointClaim> claims =
        event.endpoints().stream()
            .map(endpoint -> new EndpointClaim(endpoint.name(), endpoint, nowUs, TimingWheel.NEVER))
            .toList();
    boolean complete = event.kind() != ServerListKind.DELTA;
    long notifiedUs = freshness.earliestNotificationUs();
    apply(notifiedUs, endpointRegistry.update(nowUs, DISCOVERY, complete, claims));
    if (event.kind() != ServerListKind.CACHED) {
      startTimes.onListReceived();
    }
    freshness.onUpdateApplied(event.kind());
  }

  private void onSourceUpdated(Event.SourceUpdated event) {
    counters.add(Counter.ENDPOINT_UPDATES);
    long rejectedBefore = endpointRegistry.rejectedClaims();
    List<EndpointChange> changes =
        endpointRegistry.update(context.nowUs(), event.source(), event.complete(), event.claims());
    apply(context.unreadSinceUs(), changes);
    counters.add(Counter.CLAIMS_REJECTED, endpointRegistry.rejectedClaims() - rejectedBefore);
  }

  private void onSourceUnavailable(Event.SourceUnavailable event) {
    counters.add(Counter.SOURCES_UNAVAILABLE);
    List<EndpointChange> changes =
        endpointRegistry.sourceUnavailable(context.nowUs(), event.source());
    if (!changes.isEmpty()) {
      apply(context.unreadSinceUs(), changes);
    }
  }

  /** Applies all changes that are due by the time of this turn. */
  void advance() {
    if (nextUs() > context.nowUs()) {
      return;
    }
    freshness.advance();
    List<EndpointChange> changes = endpointRegistry.advanceTo(context.nowUs());
    if (!changes.isEmpty()) {
      apply(context.nowUs(), changes);
    }
  }

  /** The latest time at which {@link #advance} must be called, in microseconds. */
  long nextUs() {
    return Math.min(freshness.nextUs(), endpointRegistry.nextUs());
  }

  /**
   * Applies changes of the endpoint list.
   *
   * @param notifiedUs the earliest time at which the notification may have been sent; the grace
   *     period of a draining endpoint starts at this time
   */
  private void apply(long notifiedUs, List<EndpointChange> changes) {
    List<ServerEntry> entries = new ArrayList<>(changes.size());
    registry.endpointsVersion++;
    for (EndpointChange change : changes) {
      if (change.announced()) {
        report(change);
      }
      Endpoint endpoint = change.endpoint();
      TrackedEndpoint tracked = registry.endpointsByName.get(endpoint.name());
      boolean unknownDeparture = tracked == null && endpoint.state() == ServerState.GONE;
      if (!change.endpointChanged() || unknownDeparture) {
        continue;
      }
      if (tracked == null) {
        tracked = track(endpoint);
      }
      updateStart(tracked, endpoint, change.announced());
      update(tracked, endpoint, notifiedUs);
      entries.add(serverEntry(tracked));
    }
    balancer.accept(new BalancerEvent.ServerListUpdated(ServerListKind.DELTA, entries));
    removeDeparted();
  }

  private TrackedEndpoint track(Endpoint endpoint) {
    Integer reservedNumber = registry.disabledEndpoints.get(endpoint.name());
    int number = reservedNumber == null ? nextNumber() : reservedNumber;
    TrackedEndpoint tracked = new TrackedEndpoint(number, endpoint);
    registry.endpoints.put(number, tracked);
    registry.endpointsByName.put(endpoint.name(), tracked);
    tracked.stateNotifiedUs = endpoint.state() == ServerState.READY ? context.nowUs() : LONG_PAST;
    return tracked;
  }

  /**
   * Updates the start time of an endpoint. The start time of an announced endpoint is already on
   * this broker's clock; any other start time is translated to it.
   */
  private void updateStart(TrackedEndpoint tracked, Endpoint endpoint, boolean announced) {
    if (announced) {
      tracked.startedUs = endpoint.startedUs();
    } else if (tracked.reportedStartUs != endpoint.startedUs()) {
      tracked.reportedStartUs = endpoint.startedUs();
      tracked.startedUs = startTimes.localStartUs(endpoint.startedUs(), context.nowUs());
    }
  }

  private void update(TrackedEndpoint tracked, Endpoint endpoint, long notifiedUs) {
    // only an endpoint that was ready has a grace period for draining; a new or removed one has
    // none
    boolean involvesReady =
        tracked.state() == ServerState.READY || endpoint.state() == ServerState.READY;
    if (tracked.state() != endpoint.state() && involvesReady) {
      tracked.stateNotifiedUs = endpoint.state() == ServerState.GONE ? LONG_PAST : notifiedUs;
    }
    tracked.endpoint = endpoint;
    if (endpoint.state() == ServerState.GONE) {
      departing.add(tracked);
    } else {
      departing.remove(tracked);
    }
    context.emit(
        new Effect.EndpointChanged(tracked.number, endpoint, registry.isDisabled(tracked)));
  }

  private static ServerEntry serverEntry(TrackedEndpoint tracked) {
    Endpoint endpoint = tracked.endpoint;
    return new ServerEntry(
        tracked.number,
        endpoint.zone(),
        endpoint.cell(),
        endpoint.state(),
        endpoint.weight(),
        tracked.startedUs);
  }

  private void removeDeparted() {
    departing.removeIf(
        tracked -> {
          boolean idle = tracked.attemptsInFlight == 0;
          if (idle) {
            registry.endpoints.remove(tracked.number, tracked);
            registry.endpointsByName.remove(tracked.name(), tracked);
          }
          return idle;
        });
  }

  private void report(EndpointChange change) {
    Counter counter = counterOf(change.status());
    if (counter != null) {
      counters.add(counter);
    }
    Endpoint endpoint = change.endpoint();
    boolean hasAddress =
        change.status() != EndpointStatus.WITHDRAWN && change.status() != EndpointStatus.GONE;
    String address =
        hasAddress
            ? " (" + endpoint.host() + ":" + endpoint.port() + ", cell " + endpoint.cell() + ")"
            : "";
    context.log(
        "store "
            + endpoint.name()
            + " is "
            + change.status().name().toLowerCase(Locale.ROOT).replace('_', ' ')
            + ": "
            + change.reason().message()
            + address);
  }

  private static Counter counterOf(EndpointStatus status) {
    return switch (status) {
      case ANNOUNCED -> Counter.ENDPOINTS_HELD_BACK;
      case LIVE, DRAINING -> null;
      case STALE -> Counter.ENDPOINTS_STALE;
      case DISPUTED -> Counter.ENDPOINTS_DISPUTED;
      case STANDING_IN -> Counter.ENDPOINTS_STANDING_IN;
      case WITHDRAWN -> Counter.ENDPOINTS_WITHDRAWN;
      case GONE -> Counter.ENDPOINTS_REMOVED;
    };
  }
}
