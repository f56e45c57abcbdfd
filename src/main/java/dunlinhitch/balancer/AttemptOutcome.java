package dunlinhitch.balancer;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
  /** Answered. */
  OK,
  /** Answered with an error. */
  ERROR,
  /** Rejected by a server at its capacity, before any work. */
  FULL,
  /** Not answered in time; it may have had an effect. */
  TIMEOUT,
  /** No connection could be opened. */
  CONNECT_FAILED,
  /** The connection was lost before the answer. */
  RESET,
  /** Cancelled by this broker. */
  CANCELLED,
  /** Superseded: its part ended before the attempt was sent. */
  MOOT;

  /** True if the outcome proves that the attempt had no effect. */
  public boolean neverExecuted() {
    return this == FULL || this == CONNECT_FAILED || this == MOOT;
  }
}
