package dunlinhitch.balancer.settings;

/** Which attempts of a query class are safe to repeat. */
public enum Idempotency {
  /** All attempts, because the query is idempotent. */
  FREE,
  /** All attempts within the window in which servers recognize a duplicate. */
  GUARDED,
  /** Only attempts that certainly had no effect. */
  SINGLE_SHOT
}
