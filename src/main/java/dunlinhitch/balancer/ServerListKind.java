package dunlinhitch.balancer;

/**
 * DELTA changes a list, FULL and CACHED replace it (CACHED may be old), FAILED says a request
 * failed.
 */
public enum ServerListKind {
  DELTA,
  FULL,
  CACHED,
  FAILED
}
