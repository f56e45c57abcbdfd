package dunlinhitch.server;

/**
 * Divides the file descriptors of a process between clients and backends, so that clients cannot
 * exhaust those that backends, discovery and operators need.
 *
 * <p>Two processes of one broker overlap during a hot restart and their descriptors are counted
 * together. The old process is notified of the new one only when it is asked to stop, so each
 * process uses the smaller shares from its start.
 *
 * @param descriptors descriptors that the process may hold
 * @param shared whether another process may accept clients from the same listening socket
 */
record DescriptorBudget(int descriptors, boolean shared) {
  private static final int TWELFTHS = 12;

  /**
   * Clients get this many twelfths of the descriptors. This share includes connections that the
   * event loop has yet to close.
   */
  private static final int CLIENT_TWELFTHS = 7;

  private static final int SHARED_CLIENT_TWELFTHS = 4;

  /** Backends get the number of descriptors divided by this. */
  private static final int BACKEND_DIVISOR = 4;

  private static final int SHARED_BACKEND_DIVISOR = 8;

  /**
   * Number of descriptors reserved for the process itself and its discovery requests. It does not
   * depend on the total.
   */
  private static final int RESERVED_DESCRIPTORS = 24;

  /**
   * Clients get at least the number of this process's own descriptors divided by this. A process
   * owns half of the descriptors if another process may overlap with it, else all of them.
   */
  private static final int MINIMUM_CLIENT_DIVISOR = 4;

  /**
   * The number of client connections divided by this is reserved for connections that linger and
   * for those that the event loop has yet to close.
   */
  private static final int CLOSING_DIVISOR = 7;

  /** Returns the maximum number of client connections that are accepted and not yet closed. */
  int clientConnections() {
    int own = shared ? descriptors / 2 : descriptors;
    int share = descriptors * (shared ? SHARED_CLIENT_TWELFTHS : CLIENT_TWELFTHS) / TWELFTHS;
    int remainder = own - backendConnections() - RESERVED_DESCRIPTORS;
    return Math.min(share, Math.max(own / MINIMUM_CLIENT_DIVISOR, remainder));
  }

  /**
   * Returns the number of open client connections above which connections without an open query are
   * evicted.
   */
  int servedConnections() {
    int accepted = clientConnections();
    return accepted - accepted / CLOSING_DIVISOR;
  }

  /** Returns the maximum number of connections to backends. */
  int backendConnections() {
    return descriptors / (shared ? SHARED_BACKEND_DIVISOR : BACKEND_DIVISOR);
  }
}
