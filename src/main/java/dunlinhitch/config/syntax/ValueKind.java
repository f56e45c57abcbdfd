package dunlinhitch.config.syntax;

/** Kind of a directive's value. {@link Schema#help} shows the names in lower case. */
public enum ValueKind {
  /** Any text that is not empty. */
  TEXT("a non-empty text"),
  /** A boolean. */
  SWITCH("on or off"),
  /** A non-negative integer of at most nine digits. */
  COUNT("a whole number"),
  /** An integer with a unit of time. */
  DURATION("a duration such as 250ms, 10s, 5m or 1h"),
  /** A percentage from 0 to 100. */
  PERCENT("a percentage such as 30% or 2.5%"),
  /** A host and a port. */
  ADDRESS("HOST:PORT"),
  /** A path, relative to the file that contains it. */
  PATH("a file or directory path");

  private final String description;

  ValueKind(String description) {
    this.description = description;
  }

  /** Returns the expected form of a value, for error messages. */
  String description() {
    return description;
  }
}
