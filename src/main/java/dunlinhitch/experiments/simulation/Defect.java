package dunlinhitch.experiments.simulation;

/** A defect injected at the edges of the brokers to show that the checker detects violations. */
public enum Defect {
  NONE,
  /** Now and then an answer is given twice. */
  TWO_ANSWERS,
  /** Now and then one is lost. */
  LOST_ANSWER,
  /** It comes after the client's time. */
  LATE_ANSWER,
  /** A partial answer is marked whole. */
  FALSE_WHOLE,
  /** A value is another part's. */
  OTHER_VALUE,
  /** Half of an answer's values are left out. */
  UNDER_THE_FLOOR,
  /** A part is sent a second time while it is out. */
  TWO_OUT,
  /** Sent again after all its attempts. */
  MANY_ATTEMPTS,
  /** A booking is sent again after its window. */
  AFTER_THE_WINDOW,
  /** What the roster says of drains comes late. */
  LATE_DRAIN,
  /** A drained store is sent to on purpose. */
  TO_THE_DRAINED,
  /** A store is sent a shard that it does not hold. */
  WRONG_SHARD,
  /** A cold store is taken for a warm one. */
  COLD_FLOOD
}
