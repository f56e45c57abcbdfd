package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The subset of the endpoint list that this broker sends work to: for each cell the endpoints that
 * {@link Subsetting} assigns to this broker, plus one substitute for each failing endpoint. Only
 * cells with changes are recomputed.
 *
 * <p>Not thread-safe; owned by {@link ClusterCoordinator}.
 */
final class EndpointSubset {
  private final Subsetting subsetting;
  private final ActiveMembers members;
  private final SharedObservations observations;
  private final Map<String, ClusterCoordinator.ListedEndpoint> endpoints = new LinkedHashMap<>();
  private final Map<String, List<String>> selectedByCell = new HashMap<>();
  private final Set<String> changedCells = new HashSet<>();
  private Set<String> selected = Set.of();
  private long changes;

  EndpointSubset(SubsetSettings settings, ActiveMembers members, SharedObservations observations) {
    subsetting = new Subsetting(settings);
    this.members = members;
    this.observations = observations;
  }

  /** The names of the selected endpoints. */
  Set<String> selected() {
    return selected;
  }

  /** The number of changes of the selected endpoints. */
  long changes() {
    return changes;
  }

  /** The endpoints of the list by name; a live view. */
  Map<String, ClusterCoordinator.ListedEndpoint> endpoints() {
    return Collections.unmodifiableMap(endpoints);
  }

  /** Adds or updates an endpoint; returns its previous state, or null. */
  ClusterCoordinator.ListedEndpoint put(ClusterCoordinator.ListedEndpoint endpoint) {
    ClusterCoordinator.ListedEndpoint before = endpoints.put(endpoint.name(), endpoint);
    changedCells.add(endpoint.cell());
    if (before != null) {
      changedCells.add(before.cell());
    }
    return before;
  }

  /** Removes an endpoint; no effect if it is not listed. */
  void remove(String name) {
    ClusterCoordinator.ListedEndpoint before = endpoints.remove(name);
    if (before != null) {
      changedCells.add(before.cell());
    }
  }

  /** Marks the cell of an endpoint for recomputation by the next update. */
  void markChanged(String name) {
    ClusterCoordinator.ListedEndpoint endpoint = endpoints.get(name);
    if (endpoint != null) {
      changedCells.add(endpoint.cell());
    }
  }

  /** Marks all cells for recomputation by the next update. */
  void markAllChanged() {
    endpoints.values().forEach(endpoint -> changedCells.add(endpoint.cell()));
  }

  /** Whether any cell is marked for recomputation. */
  boolean hasChanges() {
    return !changedCells.isEmpty();
  }

  /** Recomputes the marked cells; returns true if the selected endpoints changed. */
  boolean update() {
    Map<String, List<Subsetting.Endpoint>> usableByCell = usableEndpointsOfChangedCells();
    List<Subsetting.MemberView> brokers = members.withZones();
    for (String cell : changedCells) {
      List<Subsetting.Endpoint> usable = usableByCell.get(cell);
      if (usable == null) {
        selectedByCell.remove(cell);
      } else {
        selectedByCell.put(cell, select(cell, brokers, usable));
      }
    }
    changedCells.clear();
    Set<String> wanted = new HashSet<>();
    selectedByCell.values().forEach(wanted::addAll);
    if (wanted.equals(selected)) {
      return false;
    }
    selected = Set.copyOf(wanted);
    changes++;
    return true;
  }

  private Map<String, List<Subsetting.Endpoint>> usableEndpointsOfChangedCells() {
    Map<String, List<Subsetting.Endpoint>> byCell = new HashMap<>();
    for (ClusterCoordinator.ListedEndpoint endpoint : endpoints.values()) {
      if (endpoint.usable() && changedCells.contains(endpoint.cell())) {
        byCell
            .computeIfAbsent(endpoint.cell(), cell -> new ArrayList<>())
            .add(new Subsetting.Endpoint(endpoint.name(), endpoint.zone()));
      }
    }
    return byCell;
  }

  private List<String> select(
      String cell, Collection<Subsetting.MemberView> brokers, List<Subsetting.Endpoint> usable) {
    List<String> order = subsetting.of(cell, brokers, usable).get(members.self());
    return withSubstitutes(order, subsetting.size(brokers.size(), usable.size()));
  }

  /**
   * The first {@code size} endpoints of {@code order}, plus one substitute from the remaining
   * endpoints for each failing endpoint.
   */
  private List<String> withSubstitutes(List<String> order, int size) {
    List<String> wanted = new ArrayList<>(order.subList(0, size));
    int missing = (int) wanted.stream().filter(observations::isFailing).count();
    for (int i = size; i < order.size() && missing > 0; i++) {
      if (!observations.isFailing(order.get(i))) {
        wanted.add(order.get(i));
        missing--;
      }
    }
    return wanted;
  }
}
