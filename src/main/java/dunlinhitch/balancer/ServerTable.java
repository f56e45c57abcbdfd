package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.ShardLayout;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The servers by id and by cell, updated incrementally so that the cost of a change does not grow
 * with the number of servers.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class ServerTable {
  private final Map<Integer, Server> byId = new LinkedHashMap<>();
  private final Map<Integer, List<Server>> byCell = new HashMap<>();

  /** Servers that were removed from the list, kept until their last attempt has ended. */
  private final Set<Server> removed = new LinkedHashSet<>();

  /**
   * Ids of the servers that an operator has disabled, whether or not they are in the server list.
   */
  private final Set<Integer> disabled = new HashSet<>();

  Server get(int id) {
    return byId.get(id);
  }

  int size() {
    return byId.size();
  }

  Collection<Server> values() {
    return byId.values();
  }

  private List<Server> inCell(int cell) {
    return byCell.getOrDefault(cell, List.of());
  }

  /** The servers that hold a shard. */
  List<Server> replicasOf(int shard, ShardLayout layout) {
    List<Server> replicas = new ArrayList<>();
    for (int j = 0; j < layout.replicationFactor(); j++) {
      replicas.addAll(inCell(Math.floorMod(shard + j, layout.cells())));
    }
    return replicas;
  }

  /** The servers that hold at least one shard of the given cell. */
  List<Server> sharingShards(int cell, ShardLayout layout) {
    Set<Integer> cells = new LinkedHashSet<>();
    for (int offset = 1 - layout.replicationFactor();
        offset < layout.replicationFactor();
        offset++) {
      cells.add(Math.floorMod(cell + offset, layout.cells()));
    }
    List<Server> sharing = new ArrayList<>();
    cells.forEach(other -> sharing.addAll(inCell(other)));
    return sharing;
  }

  Server add(int id, int cell) {
    Server server = new Server(id);
    server.cell = cell;
    byId.put(id, server);
    byCell.computeIfAbsent(cell, key -> new ArrayList<>()).add(server);
    return server;
  }

  void move(Server server, int cell) {
    if (server.cell != cell) {
      byCell.get(server.cell).remove(server);
      server.cell = cell;
      byCell.computeIfAbsent(cell, key -> new ArrayList<>()).add(server);
    }
  }

  /** Disables or enables an id; returns true if this is a change. */
  boolean setDisabled(int id, boolean disable) {
    return disable ? disabled.add(id) : disabled.remove(id);
  }

  boolean isDisabled(int id) {
    return disabled.contains(id);
  }

  /** Marks a server for {@link #removeFinished}. */
  void markRemoved(Server server) {
    removed.add(server);
  }

  /** Deletes the removed servers that have no attempt in flight and have not been listed again. */
  void removeFinished() {
    removed.removeIf(
        server -> {
          boolean finished = server.state == ServerState.GONE && server.inFlight.isEmpty();
          if (finished) {
            byId.remove(server.id);
            byCell.get(server.cell).remove(server);
          }
          return finished || server.state != ServerState.GONE;
        });
  }
}
