package dunlinhitch.balancer.settings;

/** Which attempts of a query class are safe to repeat. */
public enum Idempotency {
  /** Any: the query is idempotent. */
  FREE,
  /** Any within the window in which servers recognize a duplicate. */
  GUARDED,
  /** Only attempts that certainly had no effect. */
  SINGLE_SHOT
}
