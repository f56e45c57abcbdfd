package dunlinhitch.config.syntax;

/** Kind of the value of a directive. The names, in lower case, appear in {@link Schema#help}. */
public enum ValueKind {
  /** Any text that is not empty. */
  TEXT("a word"),
  /** A boolean. */
  SWITCH("on or off"),
  /** A non-negative integer of at most nine digits. */
  COUNT("a whole number"),
  /** An integer with a unit of time. */
  DURATION("a time such as 250ms, 10s, 5m or 1h"),
  /** A percentage from 0 to 100. */
  PERCENT("a share such as 30% or 2.5%"),
  /** A host and a port. */
  ADDRESS("HOST:PORT"),
  /** A path, relative to the file that contains it. */
  PATH("a file or folder");

  private final String description;

  ValueKind(String description) {
    this.description = description;
  }

  /** What a value looks like, as it stands in error messages. */
  String description() {
    return description;
  }
}
