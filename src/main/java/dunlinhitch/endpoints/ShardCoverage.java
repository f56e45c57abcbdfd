package dunlinhitch.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Keeps each shard covered: if no endpoint serves in any of a shard's cells, the standby with the
 * oldest claim stands in.
 *
 * <p>A position is the first of the consecutive cells that have a shard. Not thread-safe; owned by
 * the registry.
 */
final class ShardCoverage {
  private static final Comparator<EndpointRecord> OLDEST_FIRST =
      Comparator.<EndpointRecord>comparingLong(endpoint -> endpoint.standbySinceUs)
          .thenComparing(endpoint -> endpoint.name);

  private final int cells;
  private final int cellsPerShard;

  /** For each cell, the number of endpoints that serve. */
  private final int[] servingCounts;

  /** For each cell, the endpoints that could stand in, the oldest claim first. */
  private final List<TreeSet<EndpointRecord>> standbys = new ArrayList<>();

  /** For each position, the endpoint that stands in, or null. */
  private final EndpointRecord[] standIns;

  /** Positions whose stand-in has to be chosen again. */
  private final Set<Integer> dirtyPositions = new LinkedHashSet<>();

  ShardCoverage(EndpointRegistrySettings settings) {
    cells = settings.cells();
    cellsPerShard = settings.cellsPerShard();
    servingCounts = new int[cells];
    standIns = new EndpointRecord[cells];
    for (int i = 0; i < cells; i++) {
      standbys.add(new TreeSet<>(OLDEST_FIRST));
    }
  }

  /** Sets the cell in which an endpoint serves, or {@link EndpointRecord#NO_CELL}. */
  void setServing(EndpointRecord endpoint, int cell) {
    if (endpoint.servingCell == cell) {
      return;
    }
    if (endpoint.servingCell != EndpointRecord.NO_CELL) {
      servingCounts[endpoint.servingCell]--;
      markDirty(endpoint.servingCell);
    }
    if (cell != EndpointRecord.NO_CELL) {
      servingCounts[cell]++;
      markDirty(cell);
    }
    endpoint.servingCell = cell;
  }

  /**
   * Makes an endpoint a standby for a cell, by a claim that has had its content since {@code
   * sinceUs}.
   */
  void setStandby(EndpointRecord endpoint, int cell, long sinceUs) {
    if (endpoint.standbyCell == cell && endpoint.standbySinceUs == sinceUs) {
      return;
    }
    clearStandby(endpoint);
    endpoint.standbySinceUs = sinceUs; // the sets are ordered by it: written while in none
    endpoint.standbyCell = cell;
    standbys.get(cell).add(endpoint);
    markDirty(cell);
  }

  /** Removes an endpoint from the standbys. */
  void clearStandby(EndpointRecord endpoint) {
    if (endpoint.standbyCell == EndpointRecord.NO_CELL) {
      return;
    }
    standbys.get(endpoint.standbyCell).remove(endpoint);
    markDirty(endpoint.standbyCell);
    endpoint.standbyCell = EndpointRecord.NO_CELL;
  }

  /**
   * Chooses the stand-ins of changed positions again; adds the affected endpoints to {@code
   * changed}.
   */
  void update(Set<EndpointRecord> changed) {
    for (int position : dirtyPositions) {
      setStandIn(position, chooseStandIn(position), changed);
    }
    dirtyPositions.clear();
  }

  private void setStandIn(int position, EndpointRecord next, Set<EndpointRecord> changed) {
    EndpointRecord previous = standIns[position];
    if (previous == next) {
      return;
    }
    standIns[position] = next;
    if (previous != null) {
      previous.coveredPositions--;
      changed.add(previous);
    }
    if (next != null) {
      next.coveredPositions++;
      changed.add(next);
    }
  }

  private EndpointRecord chooseStandIn(int position) {
    EndpointRecord best = null;
    for (int offset = 0; offset < cellsPerShard; offset++) {
      int cell = (position + offset) % cells;
      if (servingCounts[cell] > 0) {
        return null;
      }
      if (standbys.get(cell).isEmpty()) {
        continue;
      }
      EndpointRecord oldest = standbys.get(cell).first();
      if (best == null || OLDEST_FIRST.compare(oldest, best) < 0) {
        best = oldest;
      }
    }
    return best;
  }

  private void markDirty(int cell) {
    for (int offset = 0; offset < cellsPerShard; offset++) {
      dirtyPositions.add(Math.floorMod(cell - offset, cells));
    }
  }
}
