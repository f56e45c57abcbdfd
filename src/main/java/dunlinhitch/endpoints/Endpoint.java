package dunlinhitch.endpoints;

import dunlinhitch.balancer.ServerState;

/**
 * One replica of a store, as its sources describe it.
 *
 * @param zone index of the endpoint's zone in the settings
 * @param cell the cell whose shards the endpoint serves
 * @param startedUs start time of the endpoint's process, Unix time in microseconds; 0 means long
 *     ago or unknown
 * @param phases 2 if the endpoint supports first passes, which cheaply determine whether a block
 *     has any match; otherwise 1
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

  /** Creates an endpoint that supports a single phase. */
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

  /** Whether both endpoints have the same address and protocol. */
  public boolean sameAddress(Endpoint other) {
    return host.equals(other.host) && port == other.port && protocol == other.protocol;
  }

  /** Returns this endpoint with the given state. */
  public Endpoint withState(ServerState newState) {
    return newState == state
        ? this
        : new Endpoint(name, host, port, zone, cell, newState, weight, startedUs, protocol, phases);
  }

  /** Returns this endpoint with the given number of phases. */
  public Endpoint phases(int newPhases) {
    return newPhases == phases
        ? this
        : new Endpoint(name, host, port, zone, cell, state, weight, startedUs, protocol, newPhases);
  }

  /** Returns this endpoint with the given start time, Unix time in microseconds. */
  public Endpoint withStart(long newStartedUs) {
    return newStartedUs == startedUs
        ? this
        : new Endpoint(name, host, port, zone, cell, state, weight, newStartedUs, protocol, phases);
  }
}
