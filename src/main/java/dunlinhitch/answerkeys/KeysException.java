package dunlinhitch.answerkeys;

/**
 * Thrown for invalid rules or settings of answer keys. The message is one line with the code, the
 * location, the problem and the remedy.
 */
public final class KeysException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The kinds of errors. The labels must not change, because operators search for them. */
  public enum Code {
    /** Two rules have the same name. */
    NAME_TWICE("KEYS-NAME-TWICE"),
    /** The query class is not configured. */
    NO_CLASS("KEYS-NO-CLASS"),
    /** The query class forbids reuse of answers. */
    MAY_NOT_REUSE("KEYS-MAY-NOT-REUSE"),
    /** The query class does not declare the attribute. */
    NO_ATTRIBUTE("KEYS-NO-ATTRIBUTE"),
    /** Two rewrites of the same query class apply to the same attribute. */
    ATTRIBUTE_TWICE("KEYS-ATTRIBUTE-TWICE"),
    /** The groups of a rewrite that folds values refer to each other in a cycle. */
    CYCLE("KEYS-CYCLE"),
    /** The separator of terms is invalid, or two rewrites of a class use different separators. */
    SEPARATOR("KEYS-SEPARATOR"),
    /** A rewrite can never change anything. */
    NEVER_ACTS("KEYS-NEVER-ACTS"),
    /** A setting is out of range. */
    SETTING("KEYS-SETTING");

    private final String label;

    Code(String label) {
      this.label = label;
    }

    /** The stable text that represents the code in messages. */
    public String label() {
      return label;
    }
  }

  private final Code code;
  private final String location;
  private final String remedy;

  /**
   * Creates an exception with a message composed of the arguments.
   *
   * @param location where the rule or setting is configured
   * @param problem what is wrong
   * @param remedy what an operator can do about it
   */
  public KeysException(Code code, String location, String problem, String remedy) {
    super(code.label() + " " + location + ": " + problem + "; " + remedy);
    this.code = code;
    this.location = location;
    this.remedy = remedy;
  }

  /** The kind of error, for programs. */
  public Code code() {
    return code;
  }

  /** Where the rule or setting is configured. */
  public String location() {
    return location;
  }

  /** What an operator can do about it. */
  public String remedy() {
    return remedy;
  }
}
