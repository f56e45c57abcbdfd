package dunlinhitch.core;

import dunlinhitch.balancer.ServerState;

/**
 * Which shards can be asked for a first pass: those of which each endpoint that may receive
 * attempts supports it. Computed anew when the endpoints change. Owned by the reducer; not
 * thread-safe.
 */
final class FirstPassSupport {
  /** Phases that an endpoint has to support. */
  private static final int REQUIRED_PHASES = 2;

  private final TurnContext context;
  private final InFlightRegistry registry;
  private boolean[] supportedCells = {};
  private long computedVersion = -1;

  FirstPassSupport(TurnContext context, InFlightRegistry registry) {
    this.context = context;
    this.registry = registry;
  }

  /** True where the shard has an endpoint, and all of its endpoints support first passes. */
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
