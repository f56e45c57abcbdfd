package dunlinhitch.balancer;

/** State of a server in the server list. */
public enum ServerState {
  /** Takes parts. */
  READY,
  /** Takes parts only if its shard has no other server, and only within the grace period. */
  DRAINING,
  /** Removed from the list; deleted once its last attempt has ended. */
  GONE,
  /**
   * Takes no new parts, even if its shard has no other server. Its statistics are retained because
   * the same process may become ready again.
   */
  WITHDRAWN
}
