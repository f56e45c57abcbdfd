package dunlinhitch.answerkeys;

/** Where a rule stands in its epoch. Only a trusted one deduplicates. */
public enum RuleState {
  /** It only counts what it would change. */
  PROPOSED,
  /** Answers that it would make one are compared. */
  TRIED,
  /** Enough of them were equal. */
  TRUSTED,
  /** Two were not, and it may have been the data that changed between them. */
  SUSPECT,
  /** Two were not, of the same data: for good, in this epoch. */
  WITHDRAWN
}
