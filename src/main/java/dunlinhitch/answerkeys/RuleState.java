package dunlinhitch.answerkeys;

/** The state of a rule in its epoch. Only trusted rules affect the keys of answers. */
public enum RuleState {
  /** Only the requests whose key it would change are counted. */
  PROPOSED,
  /** Answers for which it would build equal keys are compared. */
  TRIED,
  /** Enough compared answers were equal. */
  TRUSTED,
  /** Two compared answers were unequal, possibly because the data changed between them. */
  SUSPECT,
  /** Two answers of the same data were unequal, or a suspicion timed out; final in this epoch. */
  WITHDRAWN
}
