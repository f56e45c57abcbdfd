package dunlinhitch.answerkeys;

/**
 * Rules of answer keys that can not be used. The message is one line: what is wrong, where, and
 * what to do.
 */
public final class KeysException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** What can be wrong. The word of each is stable: operators search for it. */
  public enum Code {
    NAME_TWICE("KEYS-NAME-TWICE"),
    NO_CLASS("KEYS-NO-CLASS"),
    MAY_NOT_REUSE("KEYS-MAY-NOT-REUSE"),
    NO_ATTRIBUTE("KEYS-NO-ATTRIBUTE"),
    ATTRIBUTE_TWICE("KEYS-ATTRIBUTE-TWICE"),
    CYCLE("KEYS-CYCLE"),
    SEPARATOR("KEYS-SEPARATOR"),
    NEVER_ACTS("KEYS-NEVER-ACTS"),
    SETTING("KEYS-SETTING");

    private final String word;

    Code(String word) {
      this.word = word;
    }

    public String word() {
      return word;
    }
  }

  private final Code code;
  private final String place;
  private final String remedy;

  public KeysException(Code code, String place, String wrong, String remedy) {
    super(code.word() + " " + place + ": " + wrong + "; " + remedy);
    this.code = code;
    this.place = place;
    this.remedy = remedy;
  }

  public Code code() {
    return code;
  }

  /** Where the rule or figure stands. */
  public String place() {
    return place;
  }

  /** What an operator can do about it. */
  public String remedy() {
    return remedy;
  }
}
