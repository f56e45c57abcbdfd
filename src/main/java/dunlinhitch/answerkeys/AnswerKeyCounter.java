package dunlinhitch.answerkeys;

/** The counters of {@link AnswerKeyModule} for operators. */
public enum AnswerKeyCounter {
  /** Requests that bypassed coalescing: class or key not shareable, or a limit reached. */
  NOT_SHARED,
  /** Requests that bypassed the cache for the shadow comparison of a rule. */
  TRIALS,
  /** Requests that became the first leader of a fetch. */
  LED,
  /** Requests answered from the cache. */
  REUSED,
  /** Requests answered by a fetch of this broker that they waited for. */
  JOINED,
  /** Requests answered with what another broker fetched. */
  FROM_HOME,
  /** Owners that did not reply in time. */
  HOME_LATE,
  /** Answers of stores that turned out not to be shareable. */
  NOT_SHAREABLE,
  /** Requests that waited and failed. */
  ENDED,
  /** Leaderships that passed to the next waiter. */
  PASSED_ON
}
