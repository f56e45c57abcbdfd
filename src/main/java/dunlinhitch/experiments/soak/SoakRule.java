package dunlinhitch.experiments.soak;

/** The rules that {@link SoakChecker} checks. */
public enum SoakRule {
  /** Every request receives exactly one answer by its deadline. */
  ONE_ANSWER(false),
  /** Unless parallel attempts are allowed, no part has two attempts at stores at the same time. */
  ONE_ATTEMPT_AT_A_TIME(false),
  /** No part has more attempts than the settings allow. */
  ATTEMPT_LIMIT(false),
  /** No attempt of a request starts more than 0.1 s after the client has closed its connection. */
  DEPARTED_CLIENT(true),
  /** No attempt is sent to a draining endpoint after the drain grace period. */
  DRAIN(true),
  /** The timeout of an attempt does not exceed the remaining time of its request. */
  DEADLINE(true),
  /**
   * In the query class with idempotency keys, all attempts of a part start within the deduplication
   * window. This window begins when the first attempt is sent.
   */
  WINDOW(true),
  /**
   * A minimum share of the requests is served; otherwise a broker could satisfy the other rules by
   * rejecting every request.
   */
  SERVED_SHARE(true);

  private final boolean timed;

  SoakRule(boolean timed) {
    this.timed = timed;
  }

  /** Returns true if a slow machine may cause a violation although the program is correct. */
  public boolean isTimed() {
    return timed;
  }
}
