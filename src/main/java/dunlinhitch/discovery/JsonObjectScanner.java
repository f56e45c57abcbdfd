package dunlinhitch.discovery;

/**
 * Finds the end of a JSON object byte by byte, by its brackets and strings alone. Not thread-safe.
 */
final class JsonObjectScanner {
  /** A list has three levels; the JSON parser behind this would recurse without a bound. */
  private static final int MAX_DEPTH = 32;

  private int depth;

  /** One bit for each level: 1 for a brace, 0 for a bracket; the innermost level is the lowest. */
  private long braces;

  private boolean inString;
  private boolean escaped;

  /** True while an object has begun and is incomplete. */
  boolean isInObject() {
    return depth > 0;
  }

  /** The opening brace of an object was read. */
  void begin() {
    depth = 1;
    braces = 1;
  }

  /** Takes the next byte of an object; true where it is the last one. */
  boolean accept(byte next) throws MalformedListException {
    if (inString) {
      acceptInString(next);
      return false;
    }
    switch (next) {
      case '"' -> inString = true;
      case '{' -> open(1);
      case '[' -> open(0);
      case '}' -> close(1);
      case ']' -> close(0);
      default -> {
        // every other byte leaves the structure as it is
      }
    }
    return depth == 0;
  }

  private void acceptInString(byte next) throws MalformedListException {
    if (next >= 0 && next < ' ') { // not allowed in JSON strings: the end of an object was lost
      throw new MalformedListException("a string is not closed");
    }
    inString = escaped || next != '"';
    escaped = !escaped && next == '\\';
  }

  private void open(int brace) throws MalformedListException {
    depth++;
    if (depth > MAX_DEPTH) {
      throw new MalformedListException("more than " + MAX_DEPTH + " levels");
    }
    braces = (braces << 1) | brace;
  }

  private void close(int brace) throws MalformedListException {
    if ((braces & 1) != brace) { // what follows would be taken as part of the object
      throw new MalformedListException("a bracket is not closed");
    }
    braces >>= 1;
    depth--;
  }
}
