package dunlinhitch.balancer;

/** Entries of the server list for tests: zone 0, size 1. */
final class ServerEntries {
  private ServerEntries() {}

  static ServerEntry ready(int id, int cell) {
    return new ServerEntry(id, 0, cell, ServerState.READY, 1, 0);
  }

  static ServerEntry started(int id, int cell, long startedUs) {
    return new ServerEntry(id, 0, cell, ServerState.READY, 1, startedUs);
  }

  static ServerEntry inState(int id, int cell, ServerState state) {
    return new ServerEntry(id, 0, cell, state, 1, 0);
  }
}
