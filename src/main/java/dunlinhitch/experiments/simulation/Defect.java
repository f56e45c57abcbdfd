package dunlinhitch.experiments.simulation;

/**
 * A defect that is injected into the inputs or outputs of the brokers, to verify that the checker
 * detects violations.
 */
public enum Defect {
  NONE,
  /** Some queries are answered twice. */
  TWO_ANSWERS,
  /** Some answers are lost. */
  LOST_ANSWER,
  /** Some answers arrive after the deadline of the query. */
  LATE_ANSWER,
  /** Partial answers are marked as complete. */
  FALSE_WHOLE,
  /** Some answers contain the value of another part. */
  OTHER_VALUE,
  /**
   * Some answers contain only their first value, so that they have less than the minimum share of
   * the query class.
   */
  UNDER_THE_FLOOR,
  /** Some parts are sent a second time while the first attempt is in flight. */
  TWO_OUT,
  /** Some parts are sent more often than the attempt limit allows. */
  MANY_ATTEMPTS,
  /** Some bookings are sent again after their deduplication window. */
  AFTER_THE_WINDOW,
  /** Notifications of drains reach the brokers 2 s late. */
  LATE_DRAIN,
  /** Attempts are redirected to draining stores. */
  TO_THE_DRAINED,
  /** Some parts are sent to a store that does not hold their shard. */
  WRONG_SHARD,
  /** Stores are reported without a start time, so that brokers do not apply the slow start. */
  COLD_FLOOD
}
