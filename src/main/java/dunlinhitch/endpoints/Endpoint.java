package dunlinhitch.endpoints;

import dunlinhitch.balancer.ServerState;

/**
 * One calendar store as its sources have it; {@code startedUs} (Unix time in microseconds) 0: long
 * ago; {@code phases} 2: it can say cheaply whether a block has anything.
 */
public record Endpoint(
    String name,
    String host,
    int port,
    int zone,
    int cell,
    ServerState state,
    double weight,
    long startedUs,
    Protocol wire,
    int phases) {
  /** What a store speaks. */
  public enum Protocol {
    FRAMES,
    FLIGHT
  }

  /** One that knows a single phase. */
  public Endpoint(
      String name,
      String host,
      int port,
      int zone,
      int cell,
      ServerState state,
      double weight,
      long startedUs,
      Protocol wire) {
    this(name, host, port, zone, cell, state, weight, startedUs, wire, 1);
  }

  /** True where both are reached in the same way. */
  public boolean sameAddress(Endpoint other) {
    return host.equals(other.host) && port == other.port && wire == other.wire;
  }

  public Endpoint in(ServerState other) {
    return other == state
        ? this
        : new Endpoint(name, host, port, zone, cell, other, weight, startedUs, wire, phases);
  }

  public Endpoint phases(int known) {
    return known == phases
        ? this
        : new Endpoint(name, host, port, zone, cell, state, weight, startedUs, wire, known);
  }

  public Endpoint startedAt(long us) {
    return us == startedUs
        ? this
        : new Endpoint(name, host, port, zone, cell, state, weight, us, wire, phases);
  }
}
