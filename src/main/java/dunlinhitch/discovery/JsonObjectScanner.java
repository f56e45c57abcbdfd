package dunlinhitch.discovery;

/**
 * Finds the end of a JSON object byte by byte, looking only at brackets and strings. Not
 * thread-safe.
 */
final class JsonObjectScanner {
  /**
   * Maximum nesting depth; endpoint lists have three levels. The limit also bounds the recursion of
   * the JSON parser that reads the object afterwards.
   */
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
        // other bytes do not affect the nesting
      }
    }
    return depth == 0;
  }

  private void acceptInString(byte next) throws MalformedListException {
    // JSON strings contain no control characters: if one is found, part of the object was lost
    if (next >= 0 && next < ' ') {
      throw new MalformedListException(
          "unterminated string: it contains the control character " + next);
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
    // without this check, text after a damaged object would be read as part of the object
    if ((braces & 1) != brace) {
      throw new MalformedListException("a closing bracket does not match the opening bracket");
    }
    braces >>= 1;
    depth--;
  }
}
