package dunlinhitch.balancer;

/** Why the load balancer ended a query before it was complete. */
public enum GiveUpReason {
  /** Its time has passed: it is answered with the parts that have arrived, rejected or failed. */
  TIME_OVER,
  /** Too few of its parts are predicted to be answered in time. */
  OVERLOAD,
  /** The lag of this broker's event loop is too large. */
  EVENT_LOOP_LATE,
  /** No attempt could be sent within about half of its time. */
  UNSENT,
  /** The parts that may still arrive cannot reach the minimum weight of an answer. */
  UNATTAINABLE,
  /** It probably crashes the servers that it runs on. */
  SUSPECT
}
