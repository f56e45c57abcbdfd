package dunlinhitch.core;

import dunlinhitch.balancer.ServerState;

/**
 * Determines which shards support first passes: those for which every endpoint that may receive
 * attempts supports them. Recomputed when the endpoints change. Owned by the reducer; not
 * thread-safe.
 */
final class FirstPassSupport {
  /** Number of phases that an endpoint must support. */
  private static final int REQUIRED_PHASES = 2;

  private final TurnContext context;
  private final InFlightRegistry registry;
  private boolean[] supportedCells = {};
  private long computedVersion = -1;

  FirstPassSupport(TurnContext context, InFlightRegistry registry) {
    this.context = context;
    this.registry = registry;
  }

  /**
   * Returns true if the shard has at least one endpoint and all of its endpoints support first
   * passes.
   */
  boolean covers(int shard) {
    int cells = context.settings().layout().cells();
    if (computedVersion != registry.endpointsVersion || supportedCells.length != cells) {
      compute(cells);
      computedVersion = registry.endpointsVersion;
    }
    return supportedCells[Math.floorMod(shard, cells)];
  }

  private void compute(int cells) {
    boolean[] withSupport = new boolean[cells];
    boolean[] withoutSupport = new boolean[cells];
    for (TrackedEndpoint tracked : registry.endpoints.values()) {
      if (tracked.state() != ServerState.GONE && tracked.state() != ServerState.WITHDRAWN) {
        boolean supports = tracked.endpoint.phases() >= REQUIRED_PHASES;
        int cell = Math.floorMod(tracked.endpoint.cell(), cells);
        (supports ? withSupport : withoutSupport)[cell] = true;
      }
    }
    supportedCells = new boolean[cells];
    for (int cell = 0; cell < cells; cell++) {
      boolean any = false;
      boolean all = true;
      for (int offset = 0; offset < context.settings().layout().replicationFactor(); offset++) {
        any |= withSupport[(cell + offset) % cells];
        all &= !withoutSupport[(cell + offset) % cells];
      }
      supportedCells[cell] = any && all;
    }
  }
}
