package dunlinhitch.endpoints;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Ensures that each shard is served if possible. A standby is an endpoint that is disputed or
 * suppressed by flap damping, and that may serve only as a substitute. If no endpoint serves in any
 * of a shard's cells, the standby with the oldest claim becomes the substitute.
 *
 * <p>A position is the index of the first of the consecutive cells in which a shard is stored. Not
 * thread-safe; owned by the registry.
 */
final class ShardCoverage {
  private static final Comparator<EndpointRecord> OLDEST_FIRST =
      Comparator.<EndpointRecord>comparingLong(endpoint -> endpoint.standbySinceUs)
          .thenComparing(endpoint -> endpoint.name);

  private final int cells;
  private final int cellsPerShard;

  /** The number of serving endpoints in each cell. */
  private final int[] servingCounts;

  /**
   * The standbys of each cell, which may become substitutes, in the order of the age of their
   * claims, the oldest first.
   */
  private final List<TreeSet<EndpointRecord>> standbys = new ArrayList<>();

  /** The substitute for each position, or null. */
  private final EndpointRecord[] standIns;

  /** The positions whose substitute has to be selected again. */
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

  /**
   * Sets the cell in which an endpoint serves; {@link EndpointRecord#NO_CELL} means that it does
   * not serve.
   */
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
   * Makes an endpoint a standby of a cell; {@code sinceUs} is the time in microseconds at which the
   * endpoint's claim last changed.
   */
  void setStandby(EndpointRecord endpoint, int cell, long sinceUs) {
    if (endpoint.standbyCell == cell && endpoint.standbySinceUs == sinceUs) {
      return;
    }
    clearStandby(endpoint);
    // The sets of standbys are ordered by this field, so it may change only while the endpoint is
    // in none of them.
    endpoint.standbySinceUs = sinceUs;
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
   * Reselects the substitutes of the dirty positions. Adds to {@code changed} each endpoint that
   * became or ceased to be the substitute of a position.
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
