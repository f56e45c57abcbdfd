package dunlinhitch.endpoints;

import dunlinhitch.balancer.ServerState;

/**
 * One replica of a store, as its sources describe it.
 *
 * @param zone index of its zone in the settings
 * @param cell the cell of shards that it has
 * @param startedUs when its process started, Unix time in microseconds; 0: long ago or unknown
 * @param phases 2 where it can answer cheaply whether a block has any match, else 1
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
    Protocol protocol,
    int phases) {
  /** The protocol that an endpoint speaks. */
  public enum Protocol {
    FRAMES,
    FLIGHT
  }

  /** An endpoint that knows a single phase. */
  public Endpoint(
      String name,
      String host,
      int port,
      int zone,
      int cell,
      ServerState state,
      double weight,
      long startedUs,
      Protocol protocol) {
    this(name, host, port, zone, cell, state, weight, startedUs, protocol, 1);
  }

  /** True where both are reached at the same address by the same protocol. */
  public boolean sameAddress(Endpoint other) {
    return host.equals(other.host) && port == other.port && protocol == other.protocol;
  }

  /** This endpoint in another state. */
  public Endpoint withState(ServerState newState) {
    return newState == state
        ? this
        : new Endpoint(name, host, port, zone, cell, newState, weight, startedUs, protocol, phases);
  }

  /** This endpoint with another number of phases. */
  public Endpoint phases(int newPhases) {
    return newPhases == phases
        ? this
        : new Endpoint(name, host, port, zone, cell, state, weight, startedUs, protocol, newPhases);
  }

  /** This endpoint with another start, Unix time in microseconds. */
  public Endpoint withStart(long newStartedUs) {
    return newStartedUs == startedUs
        ? this
        : new Endpoint(name, host, port, zone, cell, state, weight, newStartedUs, protocol, phases);
  }
}
