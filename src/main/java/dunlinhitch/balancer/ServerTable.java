package dunlinhitch.balancer;

import dunlinhitch.balancer.State.Server;
import dunlinhitch.balancer.settings.ShardLayout;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The servers by id and by cell, kept up change by change: no change costs more where there are
 * more of them. No decisions.
 */
final class ServerTable {
  private final Map<Integer, Server> byId = new LinkedHashMap<>();
  private final Map<Integer, List<Server>> byCell = new HashMap<>();

  /** Gone, with attempts still out. */
  private final Set<Server> leaving = new LinkedHashSet<>();

  Server get(int id) {
    return byId.get(id);
  }

  int size() {
    return byId.size();
  }

  Collection<Server> values() {
    return byId.values();
  }

  List<Server> inCell(int cell) {
    return byCell.getOrDefault(cell, List.of());
  }

  /** Those that hold a shard. */
  List<Server> holders(int shard, ShardLayout layout) {
    List<Server> found = new ArrayList<>();
    for (int j = 0; j < layout.inARow(); j++) {
      found.addAll(inCell(Math.floorMod(shard + j, layout.cells())));
    }
    return found;
  }

  /** Those in cells less than {@code reach} away, either way round. */
  List<Server> near(int cell, int reach, int cells) {
    Set<Integer> seen = new LinkedHashSet<>();
    for (int away = 1 - reach; away < reach; away++) {
      seen.add(Math.floorMod(cell + away, cells));
    }
    List<Server> near = new ArrayList<>();
    seen.forEach(at -> near.addAll(inCell(at)));
    return near;
  }

  Server add(int id, int cell) {
    Server s = new Server(id);
    s.cell = cell;
    byId.put(id, s);
    byCell.computeIfAbsent(cell, c -> new ArrayList<>()).add(s);
    return s;
  }

  void move(Server s, int cell) {
    if (s.cell != cell) {
      byCell.get(s.cell).remove(s);
      s.cell = cell;
      byCell.computeIfAbsent(cell, c -> new ArrayList<>()).add(s);
    }
  }

  void gone(Server s) {
    leaving.add(s);
  }

  /** Leaves out those that are gone and have nothing out. */
  void forget() {
    leaving.removeIf(
        s -> {
          boolean over = s.state == ServerState.GONE && s.out.isEmpty();
          if (over) {
            byId.remove(s.id);
            byCell.get(s.cell).remove(s);
          }
          return over || s.state != ServerState.GONE;
        });
  }
}
