package dunlinhitch.balancer;

/** Why the load balancer ended a query before it was complete. */
public enum GiveUpReason {
  /** Its time was over: it is answered with what has arrived, or rejected. */
  TIME_OVER,
  /** The ledger predicts too few of its parts in time. */
  OVERLOAD,
  /** This broker's own event loop is too late. */
  EVENT_LOOP_LATE,
  /** Nothing of it could be sent for a good part of its time. */
  UNSENT,
  /** The parts that may still arrive cannot make an answer. */
  UNATTAINABLE,
  /** It seems to bring down the servers that it runs on. */
  SUSPECT
}
