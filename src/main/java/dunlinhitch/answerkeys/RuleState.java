package dunlinhitch.answerkeys;

/** The state of a rule in its epoch. Only trusted rules affect the keys of answers. */
public enum RuleState {
  /** The requests whose key the rule would change are counted. */
  PROPOSED,
  /** Answers that would share a key under the rule are compared. */
  TRIED,
  /** Enough compared answers were equal, so the rule is applied. */
  TRUSTED,
  /**
   * Two compared answers were unequal, possibly because the data changed between them. The rule is
   * not applied.
   */
  SUSPECT,
  /**
   * Two answers based on the same data were unequal, or a suspicion timed out. Final in this epoch.
   */
  WITHDRAWN
}
