package dunlinhitch.balancer;

/** State of a server in the server list. */
public enum ServerState {
  /** Takes parts. */
  READY,
  /** Takes parts only where its shard has no other server, and only within the grace period. */
  DRAINING,
  /** Removed from the list; forgotten once its last attempt has ended. */
  GONE,
  /**
   * Takes nothing new from this moment on, not even as the last of its shard. What was learned of
   * it is retained, for it may come back as the same process.
   */
  WITHDRAWN
}
