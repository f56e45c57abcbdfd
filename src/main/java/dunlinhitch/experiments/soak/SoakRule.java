package dunlinhitch.experiments.soak;

/** The rules that a soak run is judged by. */
public enum SoakRule {
  /** Every request gets one final answer, in its time. */
  ONE_ANSWER(false),
  /** No part has two attempts at stores where one at a time is allowed. */
  ONE_ATTEMPT_AT_A_TIME(false),
  /** No part has more attempts than the settings allow. */
  ATTEMPT_LIMIT(false),
  /** No attempt begins more than 0.1 s after its client has left. */
  DEPARTED_CLIENT(true),
  /** Nothing is sent to an endpoint that drains, after the grace period. */
  DRAIN(true),
  /** An attempt tells its store no more time than its client has left. */
  DEADLINE(true),
  /** An attempt that may repeat an executed one keeps to the deduplication window. */
  WINDOW(true),
  /** Refusing everything is no way out. */
  SERVED_SHARE(true);

  private final boolean timed;

  SoakRule(boolean timed) {
    this.timed = timed;
  }

  /** True where a slow machine may break the rule as well as the program. */
  public boolean isTimed() {
    return timed;
  }
}
