package dunlinhitch.balancer;

/** What an update of the server list contains. */
public enum ServerListKind {
  /** The entries that changed. */
  DELTA,
  /** The whole list, which replaces the previous one. */
  FULL,
  /** Like {@link #FULL}, but from a cache that may be stale. */
  CACHED,
  /** Nothing: the list could not be read. */
  FAILED
}
