package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns the endpoints of a cell to brokers by rendezvous hashing with bounded loads (after
 * Mirrokni, Thorup and Zadimoghaddam, 2018). Endpoints are assigned to one broker after the other,
 * in a hash order that differs between cells. Each broker gets its highest-ranked endpoints that
 * have capacity. Brokers with the same lists of brokers and endpoints compute the same subsets
 * without communication. When a broker joins or leaves, only its own assignments and the few
 * assignments displaced by them change.
 *
 * <p>The cost for B brokers and S endpoints of a cell is B * S hashes and O(B * S * log S) steps.
 * Immutable.
 */
public final class Subsetting {
  private final SubsetSettings settings;

  /** Creates a subsetting with the given subset sizes and load bounds. */
  public Subsetting(SubsetSettings settings) {
    this.settings = settings;
  }

  /** One endpoint of a cell; {@code zone} may be empty. */
  public record Endpoint(String name, String zone) {}

  /** One broker of the cluster; {@code zone} may be empty. */
  public record MemberView(String name, String zone) {}

  /**
   * Returns for each broker all endpoints of the cell in order of preference. The first {@link
   * #size} endpoints are the broker's subset, the others are its substitutes. An endpoint in the
   * broker's own zone comes first, if one has capacity, because traffic across zones is expensive.
   */
  public Map<String, List<String>> of(
      String cell, Collection<MemberView> members, Collection<Endpoint> stores) {
    Map<String, MemberView> brokers = new HashMap<>();
    members.forEach(member -> brokers.put(member.name(), member));
    Map<String, String> endpointZones = new LinkedHashMap<>();
    stores.forEach(endpoint -> endpointZones.put(endpoint.name(), endpoint.zone()));
    Assignment assignment =
        new Assignment(
            settings.size(members.size(), stores.size()),
            settings.maxLoad(members.size(), stores.size()));
    for (String broker : RendezvousHash.order(brokers.keySet(), "turn", cell)) {
      assignment.assign(broker, preferences(cell, brokers.get(broker), endpointZones));
    }
    return assignment.orders;
  }

  /** The endpoints by rank, except that the highest-ranked one in the broker's zone comes first. */
  private static List<String> preferences(
      String cell, MemberView broker, Map<String, String> endpointZones) {
    List<String> preferences =
        new ArrayList<>(RendezvousHash.order(endpointZones.keySet(), "store", cell, broker.name()));
    if (broker.zone().isEmpty()) {
      return preferences;
    }
    for (int i = 0; i < preferences.size(); i++) {
      if (endpointZones.get(preferences.get(i)).equals(broker.zone())) {
        preferences.add(0, preferences.remove(i));
        return preferences;
      }
    }
    return preferences;
  }

  /** The number of endpoints of a cell in the subset of each broker. */
  public int size(int members, int stores) {
    return settings.size(members, stores);
  }

  /** The assignment of one cell's endpoints, used during its computation. */
  private static final class Assignment {
    private final int subsetSize;
    private final int maxLoad;
    private final Map<String, Integer> loads = new HashMap<>();

    /**
     * The order of all endpoints for each broker that has been processed; the broker's subset comes
     * first.
     */
    private final Map<String, List<String>> orders = new LinkedHashMap<>();

    Assignment(int subsetSize, int maxLoad) {
      this.subsetSize = subsetSize;
      this.maxLoad = maxLoad;
    }

    void assign(String broker, List<String> preferences) {
      List<String> order = new ArrayList<>(preferences.size());
      for (String endpoint : preferences) {
        if (order.size() < subsetSize && load(endpoint) < maxLoad) {
          order.add(endpoint);
        }
      }
      while (order.size() < subsetSize) {
        // The current broker already has every endpoint with free capacity. Moving an earlier
        // broker frees capacity at another endpoint.
        order.add(freeCapacity(preferences, order));
      }
      order.forEach(endpoint -> loads.merge(endpoint, 1, Integer::sum));
      for (String endpoint : preferences) {
        if (!order.contains(endpoint)) {
          order.add(endpoint);
        }
      }
      orders.put(broker, List.copyOf(order));
    }

    private int load(String endpoint) {
      return loads.getOrDefault(endpoint, 0);
    }

    /**
     * Frees capacity for the current broker, whose endpoints so far are {@code chosen}, and returns
     * the endpoint with the freed capacity. To do so, moves an earlier broker from an endpoint
     * outside {@code chosen} to an endpoint in {@code chosen}. The target must have capacity, and
     * the earlier broker must not use it yet. The earlier brokers are tried in reverse order of
     * processing. If the load bound permits no such move, returns the endpoint with the least load.
     */
    private String freeCapacity(List<String> preferences, List<String> chosen) {
      List<String> earlier = new ArrayList<>(orders.keySet());
      for (int i = earlier.size() - 1; i >= 0; i--) {
        for (String target : chosen) {
          String freed = move(earlier.get(i), target, chosen);
          if (freed != null) {
            return freed;
          }
        }
      }
      return leastLoaded(preferences, chosen);
    }

    /**
     * Moves an earlier broker from an endpoint that is not in {@code chosen} to {@code target}.
     * Returns the endpoint that it was moved from, or null if no move is possible.
     */
    private String move(String broker, String target, List<String> chosen) {
      List<String> order = orders.get(broker);
      int targetIndex = order.indexOf(target);
      boolean usesTarget = targetIndex < subsetSize;
      // The load of the target does not yet include the current broker.
      if (usesTarget || load(target) + 1 >= maxLoad) {
        return null;
      }
      for (int i = subsetSize - 1; i >= 0; i--) {
        String freed = order.get(i);
        if (!chosen.contains(freed)) {
          List<String> moved = new ArrayList<>(order);
          moved.set(i, target);
          moved.set(targetIndex, freed);
          orders.put(broker, List.copyOf(moved));
          loads.merge(target, 1, Integer::sum);
          loads.merge(freed, -1, Integer::sum);
          return freed;
        }
      }
      return null;
    }

    private String leastLoaded(List<String> preferences, List<String> chosen) {
      String best = null;
      for (String endpoint : preferences) {
        if (!chosen.contains(endpoint) && (best == null || load(endpoint) < load(best))) {
          best = endpoint;
        }
      }
      return best;
    }
  }
}
