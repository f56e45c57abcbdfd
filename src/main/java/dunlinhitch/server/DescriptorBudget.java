package dunlinhitch.server;

/**
 * How the file descriptors of a process are divided between clients and backends, so that clients
 * can never take those that backends, discovery and operators need.
 *
 * <p>Two processes of one broker overlap during a hot restart and their descriptors are counted
 * together. The old process learns of the new one only when it is asked to end, so each keeps to
 * the smaller shares from its start.
 *
 * @param descriptors descriptors that the process may hold
 * @param shared whether another process may accept clients from the same listening socket
 */
record DescriptorBudget(int descriptors, boolean shared) {
  private static final int TWELFTHS = 12;

  /** Share of clients while the loop is behind with closing what it does not admit. */
  private static final int CLIENT_TWELFTHS = 7;

  private static final int SHARED_CLIENT_TWELFTHS = 4;

  /** One descriptor in so many is for connections to backends. */
  private static final int BACKEND_DIVISOR = 4;

  private static final int SHARED_BACKEND_DIVISOR = 8;

  /** Descriptors of the process itself and of its discovery calls, however few there are in all. */
  private static final int RESERVED_DESCRIPTORS = 24;

  /** Clients get at least this part of the process's own descriptors. */
  private static final int MINIMUM_CLIENT_DIVISOR = 4;

  /** Of the accepted connections one in so many is about to be closed by the loop, or lingers. */
  private static final int CLOSING_DIVISOR = 7;

  /** Returns the most client connections that may be accepted and not yet closed. */
  int clientConnections() {
    int own = shared ? descriptors / 2 : descriptors;
    int share = descriptors * (shared ? SHARED_CLIENT_TWELFTHS : CLIENT_TWELFTHS) / TWELFTHS;
    int remainder = own - backendConnections() - RESERVED_DESCRIPTORS;
    return Math.min(share, Math.max(own / MINIMUM_CLIENT_DIVISOR, remainder));
  }

  /** Returns the most client connections that are served; the others are closed once accepted. */
  int servedConnections() {
    int accepted = clientConnections();
    return accepted - accepted / CLOSING_DIVISOR;
  }

  /** Returns the most connections to backends. */
  int backendConnections() {
    return descriptors / (shared ? SHARED_BACKEND_DIVISOR : BACKEND_DIVISOR);
  }
}
