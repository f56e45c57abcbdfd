package dunlinhitch.discovery;

/**
 * Finds the end of a JSON object byte by byte, looking only at brackets and strings. Not
 * thread-safe.
 */
final class JsonObjectScanner {
  /** Lists have three levels; the limit also bounds the recursion of the JSON parser used next. */
  private static final int MAX_DEPTH = 32;

  private int depth;

  /** One bit per level: 1 for a brace, 0 for a bracket. The lowest bit is the innermost level. */
  private long braces;

  private boolean inString;
  private boolean escaped;

  /** Returns true while an object has begun and is incomplete. */
  boolean isInObject() {
    return depth > 0;
  }

  /** Starts an object whose opening brace was read. */
  void begin() {
    depth = 1;
    braces = 1;
  }

  /** Processes the next byte of an object; returns true if it is the last one. */
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
    if (next >= 0 && next < ' ') { // not allowed in strings: part of the object was lost
      throw new MalformedListException("unterminated string");
    }
    inString = escaped || next != '"';
    escaped = !escaped && next == '\\';
  }

  private void open(int brace) throws MalformedListException {
    depth++;
    if (depth > MAX_DEPTH) {
      throw new MalformedListException("nested more than " + MAX_DEPTH + " levels deep");
    }
    braces = (braces << 1) | brace;
  }

  private void close(int brace) throws MalformedListException {
    if ((braces & 1) != brace) { // otherwise later text would be read as part of the object
      throw new MalformedListException("mismatched brackets");
    }
    braces >>= 1;
    depth--;
  }
}
