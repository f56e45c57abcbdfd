package dunlinhitch.answerkeys;

/** The state of a rule in its epoch. Only a trusted one takes part in the keys of answers. */
public enum RuleState {
  /** Only the requests whose key it would change are counted. */
  PROPOSED,
  /** Answers that it would make equal are compared. */
  TRIED,
  /** Enough of them were equal. */
  TRUSTED,
  /** Two were not, which a change of the data between them may explain. */
  SUSPECT,
  /** Two of the same data were not; final in this epoch. */
  WITHDRAWN
}
