package dunlinhitch.answerkeys;

/** The counters of {@link AnswerKeyModule} for operators. */
public enum AnswerKeyCounter {
  /**
   * Requests that bypassed coalescing, because their class or key was not shareable or a limit was
   * reached.
   */
  NOT_SHARED,
  /** Requests that bypassed the cache for the shadow comparison of a rule. */
  TRIALS,
  /** Requests that became the first leader of a fetch. */
  LED,
  /** Requests answered from the cache. */
  REUSED,
  /** Requests that waited for a fetch of this broker and were answered with its result. */
  JOINED,
  /** Requests answered with an answer that another broker fetched. */
  FROM_HOME,
  /** Requests to the owner of a key to which the owner did not reply in time. */
  HOME_LATE,
  /** Answers of stores that were not shareable. */
  NOT_SHAREABLE,
  /** Requests that failed while they waited for a fetch. */
  ENDED,
  /** Number of times that the next waiter became the leader of a fetch. */
  PASSED_ON
}
