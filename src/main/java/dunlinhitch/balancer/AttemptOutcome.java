package dunlinhitch.balancer;

/** How an attempt or probe ended. */
public enum AttemptOutcome {
  OK,
  ERROR,
  FULL,
  TIMEOUT,
  CONNECT_FAILED,
  RESET,
  CANCELLED,
  MOOT;

  /** True where the outcome proves that the attempt had no effect. */
  public boolean neverRan() {
    return this == FULL || this == CONNECT_FAILED || this == MOOT;
  }
}
