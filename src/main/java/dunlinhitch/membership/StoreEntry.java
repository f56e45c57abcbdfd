package dunlinhitch.membership;

import dunlinhitch.decide.Routing.ServerState;

/**
 * One calendar store as its sources have it; {@code startedUs} (Unix time in microseconds) 0: long
 * ago; {@code phases} 2: it can say cheaply whether a block has anything.
 */
public record StoreEntry(
    String name,
    String host,
    int port,
    int zone,
    int cell,
    ServerState state,
    double weight,
    long startedUs,
    StoreWire wire,
    int phases) {
  /** What a store speaks. */
  public enum StoreWire {
    FRAMES,
    FLIGHT
  }

  /** One that knows a single phase. */
  public StoreEntry(
      String name,
      String host,
      int port,
      int zone,
      int cell,
      ServerState state,
      double weight,
      long startedUs,
      StoreWire wire) {
    this(name, host, port, zone, cell, state, weight, startedUs, wire, 1);
  }

  /** True where both are reached in the same way. */
  public boolean sameAddress(StoreEntry other) {
    return host.equals(other.host) && port == other.port && wire == other.wire;
  }

  public StoreEntry in(ServerState other) {
    return other == state
        ? this
        : new StoreEntry(name, host, port, zone, cell, other, weight, startedUs, wire, phases);
  }

  public StoreEntry phases(int known) {
    return known == phases
        ? this
        : new StoreEntry(name, host, port, zone, cell, state, weight, startedUs, wire, known);
  }

  public StoreEntry startedAt(long us) {
    return us == startedUs
        ? this
        : new StoreEntry(name, host, port, zone, cell, state, weight, us, wire, phases);
  }
}
