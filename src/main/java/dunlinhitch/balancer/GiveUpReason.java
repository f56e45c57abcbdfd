package dunlinhitch.balancer;

/** Why the load balancer ended a query before it was complete. */
public enum GiveUpReason {
  /**
   * The query's time has passed. The answered parts are sent if they suffice; otherwise the query
   * is rejected or failed.
   */
  TIME_OVER,
  /** Too few of the query's parts are predicted to be answered in time. */
  OVERLOAD,
  /** The lag of this broker's event loop is too large. */
  EVENT_LOOP_LATE,
  /** No attempt of the query could be sent within about half of the query's time. */
  UNSENT,
  /** The parts that may still arrive cannot reach the minimum weight of an answer. */
  UNATTAINABLE,
  /** The query probably crashes the servers that execute it. */
  SUSPECT
}
