package dunlinhitch.cluster;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which stores of a cell each broker keeps to: rendezvous hashing with bounded loads (after
 * Mirrokni, Thorup and Zadimoghaddam, 2018). The brokers choose one after the other, in an order by
 * hash that is another one in each cell; each takes the stores that rank first for it and are not
 * full. Whoever knows the same brokers and stores finds the same subsets, so nobody has to be
 * asked; a broker that comes or goes moves its own share and the few that it displaces.
 *
 * <p>Costs for B brokers and S stores of a cell: B S hashes and B S log S steps; only cells with a
 * change need it anew.
 */
public final class Subsetting {
  private final SubsetSettings rule;

  public Subsetting(SubsetSettings rule) {
    this.rule = rule;
  }

  /** One store of a cell; {@code zone} may be empty. */
  public record Store(String name, String zone) {}

  /** One broker of the fleet; {@code zone} may be empty. */
  public record MemberView(String name, String zone) {}

  /**
   * For each broker the stores of the cell in the order in which it would come to them: as many as
   * {@link SubsetSettings#size} are its subset, the rest its spares. A store of its own zone is
   * first where that has room: what crosses zones costs.
   */
  public Map<String, List<String>> of(
      String cell, Collection<MemberView> members, Collection<Store> stores) {
    int size = rule.size(members.size(), stores.size());
    int most = rule.most(members.size(), stores.size());
    Map<String, MemberView> byName = new HashMap<>();
    members.forEach(member -> byName.put(member.name(), member));
    Map<String, String> zones = new LinkedHashMap<>();
    stores.forEach(store -> zones.put(store.name(), store.zone()));
    Map<String, Integer> load = new HashMap<>();
    Map<String, List<String>> chosen = new LinkedHashMap<>();
    for (String member : RendezvousHash.order(byName.keySet(), "turn", cell)) {
      List<String> wished = wished(cell, byName.get(member), zones);
      List<String> taken = new ArrayList<>(wished.size());
      for (String store : wished) {
        if (taken.size() < size && load.getOrDefault(store, 0) < most) {
          taken.add(store);
        }
      }
      while (taken.size()
          < size) { // room is left only where this one is already: an earlier one makes some
        taken.add(roomFor(wished, taken, chosen, size, load, most));
      }
      taken.forEach(store -> load.merge(store, 1, Integer::sum));
      wished.stream().filter(store -> !taken.contains(store)).forEach(taken::add);
      chosen.put(member, List.copyOf(taken));
    }
    return chosen;
  }

  /** By rank, but the best of its own zone first. */
  private static List<String> wished(String cell, MemberView member, Map<String, String> zones) {
    List<String> wished =
        new ArrayList<>(RendezvousHash.order(zones.keySet(), "store", cell, member.name()));
    for (int i = 1;
        i < wished.size()
            && !member.zone().isEmpty()
            && !zones.get(wished.get(0)).equals(member.zone());
        i++) {
      if (zones.get(wished.get(i)).equals(member.zone())) {
        wished.add(0, wished.remove(i));
      }
    }
    return wished;
  }

  /**
   * A store that this one may take: the last broker before it that has a store which this one
   * lacks, and lacks a store with room, moves from the one to the other. Where the bound leaves no
   * such way, the emptiest.
   */
  private static String roomFor(
      List<String> wished,
      List<String> taken,
      Map<String, List<String>> chosen,
      int size,
      Map<String, Integer> load,
      int most) {
    List<String> earlier = new ArrayList<>(chosen.keySet());
    for (int i = earlier.size() - 1; i >= 0; i--) {
      List<String> theirs = chosen.get(earlier.get(i));
      for (String free : taken) {
        int at = theirs.indexOf(free);
        if (at < size || load.getOrDefault(free, 0) + 1 >= most) { // it takes one there itself
          continue;
        }
        for (int has = size - 1; has >= 0; has--) {
          String given = theirs.get(has);
          if (!taken.contains(given)) {
            List<String> moved = new ArrayList<>(theirs);
            moved.set(has, free);
            moved.set(at, given);
            chosen.put(earlier.get(i), List.copyOf(moved));
            load.merge(free, 1, Integer::sum);
            load.merge(given, -1, Integer::sum);
            return given;
          }
        }
      }
    }
    return emptiest(wished, taken, load);
  }

  private static String emptiest(
      List<String> wished, List<String> taken, Map<String, Integer> load) {
    String best = null;
    for (String store : wished) {
      if (!taken.contains(store)
          && (best == null || load.getOrDefault(store, 0) < load.getOrDefault(best, 0))) {
        best = store;
      }
    }
    return best;
  }

  /** How many of a cell's stores are a broker's subset. */
  public int size(int members, int stores) {
    return rule.size(members, stores);
  }
}
