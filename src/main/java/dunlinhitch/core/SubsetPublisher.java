package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.ServerEntry;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Restricts the endpoints seen by the load balancer to this broker's subset. Endpoints outside the
 * subset are published as withdrawn, so that they receive no new attempts while the load balancer
 * keeps its statistics about them. Owned by {@link ClusterStage}; not thread-safe.
 */
final class SubsetPublisher {
  private final TurnContext context;
  private final InFlightRegistry registry;
  private final BalancerGateway balancer;

  /** The entries of the endpoint list by endpoint number, before the subset is applied. */
  private final Map<Integer, ServerEntry> listedEntries = new HashMap<>();

  /** Names of the endpoints in the subset. */
  private Set<String> subset = Set.of();

  /**
   * Numbers of the endpoints whose membership in the subset has changed since the load balancer was
   * last notified.
   */
  private final Set<Integer> changedEndpoints = new HashSet<>();

  SubsetPublisher(ReducerState state, BalancerGateway balancer) {
    context = state.context();
    registry = state.registry();
    this.balancer = balancer;
  }

  Set<String> subset() {
    return subset;
  }

  /** Records an entry of a list update that will be passed to {@link #publish}. */
  void track(ServerEntry entry) {
    changedEndpoints.add(entry.id());
    if (entry.state() == ServerState.GONE) {
      listedEntries.remove(entry.id());
    } else {
      listedEntries.put(entry.id(), entry);
    }
  }

  /** Replaces the subset; returns true if it has changed. */
  boolean replaceSubset(Set<String> names) {
    for (TrackedEndpoint endpoint : registry.endpoints.values()) {
      if (subset.contains(endpoint.name()) != names.contains(endpoint.name())) {
        changedEndpoints.add(endpoint.number);
      }
    }
    boolean changed = !subset.equals(names);
    subset = names;
    return changed;
  }

  /**
   * Forwards an update of the endpoint list, removals first, together with pending changes of the
   * subset.
   */
  void publish(BalancerEvent.ServerListUpdated update) {
    List<ServerEntry> entries = new ArrayList<>();
    for (ServerEntry entry : update.servers()) {
      if (entry.state() == ServerState.GONE) {
        entries.add(entry);
      }
      changedEndpoints.remove(entry.id());
    }
    for (ServerEntry entry : update.servers()) {
      if (entry.state() != ServerState.GONE) {
        entries.add(applySubset(entry));
      }
    }
    entries.addAll(takeChangedEntries());
    balancer.deliverWhenIdle(new BalancerEvent.ServerListUpdated(update.kind(), entries));
  }

  /**
   * Publishes the pending changes of the subset, if there are any, without waiting for an update of
   * the endpoint list.
   */
  void publishChanges() {
    if (changedEndpoints.isEmpty()) {
      return;
    }
    List<ServerEntry> entries = takeChangedEntries();
    if (!entries.isEmpty()) {
      balancer.deliverWhenIdle(new BalancerEvent.ServerListUpdated(ServerListKind.DELTA, entries));
    }
  }

  private List<ServerEntry> takeChangedEntries() {
    List<ServerEntry> entries = new ArrayList<>();
    for (int number : changedEndpoints) {
      ServerEntry entry = listedEntries.get(number);
      if (entry != null) {
        entries.add(applySubset(entry));
        if (!subset.contains(nameOf(number))) {
          context.emit(new Effect.CloseIdleConnections(number));
        }
      }
    }
    changedEndpoints.clear();
    return entries;
  }

  private ServerEntry applySubset(ServerEntry entry) {
    if (entry.state() != ServerState.READY || subset.contains(nameOf(entry.id()))) {
      return entry;
    }
    return new ServerEntry(
        entry.id(),
        entry.zone(),
        entry.cell(),
        ServerState.WITHDRAWN,
        entry.size(),
        entry.startedUs());
  }

  private String nameOf(int number) {
    return registry.endpoints.get(number).name();
  }
}
