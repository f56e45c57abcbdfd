package dunlinhitch.balancer;

/**
 * State of a server in the list. WITHDRAWN: it gets nothing new from this moment on, not even as
 * the last of its shard, and what was learnt of it is kept, for it may come back as the same
 * process.
 */
public enum ServerState {
  READY,
  DRAINING,
  GONE,
  WITHDRAWN
}
