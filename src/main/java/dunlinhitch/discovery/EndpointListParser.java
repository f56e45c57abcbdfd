package dunlinhitch.discovery;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Cuts what discovery writes into JSON objects, however they are broken into lines and chunks: a
 * list may come indented. An object ends with the brace that closes it. Text between objects is
 * skipped; where it is no blank it is counted.
 */
final class EndpointListParser {
  /**
   * The text can not be an object, or is longer than any list: what follows can not be told apart
   * either.
   */
  static final class SpoiltException extends Exception {
    private static final long serialVersionUID = 1L;

    SpoiltException(String message) {
      super(message);
    }
  }

  /** A list has three levels; the reader of JSON would go as deep as it is told to. */
  private static final int MOST_DEPTH = 32;

  /**
   * So many lines that are no list, and no list between them, are no slip: what speaks there is not
   * discovery.
   */
  private static final int MOST_STRAYS = 32;

  private final int most;

  /** What has come of an object that is not whole. */
  private byte[] begun = new byte[0];

  private int length;

  /** Up to here it has been looked at. */
  private int seen;

  private int depth;

  /** For each level whether a brace began it, the innermost last. */
  private long braces;

  private boolean quoted;
  private boolean escaped;
  private boolean strayLine;
  private int strays;
  private int straysInARow;
  private SpoiltException spoilt;

  /** No object may be longer than {@code most} bytes. */
  EndpointListParser(int most) {
    this.most = most;
  }

  /** True while an object has begun and is not whole. */
  boolean isWithin() {
    return depth > 0;
  }

  /** Lines that were no part of an object, since it was last asked. */
  int strays() {
    int so = strays;
    strays = 0;
    return so;
  }

  /** Throws where the text was spoilt behind what was read of it last. */
  void check() throws SpoiltException {
    if (spoilt != null) {
      throw spoilt;
    }
  }

  /**
   * Takes what came next; the result is the objects that are whole by it, before a place where the
   * text is spoilt too.
   */
  List<String> read(byte[] bytes) throws SpoiltException {
    check();
    List<String> whole = new ArrayList<>();
    try {
      cut(bytes, whole);
    } catch (SpoiltException e) {
      spoilt = e;
      if (whole.isEmpty()) {
        throw e;
      }
    }
    return whole;
  }

  private void cut(byte[] bytes, List<String> whole) throws SpoiltException {
    begun =
        begun.length < length + bytes.length
            ? Arrays.copyOf(begun, Math.max(2 * begun.length, length + bytes.length))
            : begun;
    System.arraycopy(bytes, 0, begun, length, bytes.length);
    length += bytes.length;
    int from = 0;
    for (; seen < length; seen++) {
      byte b = begun[seen];
      if (depth == 0) {
        from = b == '{' && !strayLine ? seen : seen + 1;
      }
      if (take(b)) {
        whole.add(new String(begun, from, seen + 1 - from, StandardCharsets.UTF_8));
        from = seen + 1;
      }
    }
    length -= from;
    seen = length;
    if (from > 0) {
      System.arraycopy(begun, from, begun, 0, length);
    }
    if (length > most) {
      throw new SpoiltException("an object of more than " + most + " bytes");
    }
  }

  /** True where an object is whole by this byte. */
  private boolean take(byte b) throws SpoiltException {
    if (quoted) {
      if (b >= 0 && b < ' ') { // JSON has none in a string: the end of an object was lost
        throw new SpoiltException("a string is not closed");
      }
      quoted = escaped || b != '"';
      escaped = !escaped && b == '\\';
    } else if (depth == 0) {
      outside(b);
    } else if (b == '"') {
      quoted = true;
    } else if (b == '{' || b == '[') {
      if (++depth > MOST_DEPTH) {
        throw new SpoiltException("more than " + MOST_DEPTH + " levels");
      }
      braces = braces << 1 | (b == '{' ? 1 : 0);
    } else if (b == '}' || b == ']') {
      if ((braces & 1)
          != (b == '}' ? 1 : 0)) { // else what follows would be swallowed until it stalls
        throw new SpoiltException("a bracket is not closed");
      }
      braces >>= 1;
      depth--;
      straysInARow = depth == 0 ? 0 : straysInARow;
      return depth == 0;
    }
    return false;
  }

  private void outside(byte b) throws SpoiltException {
    if (b == '\n') {
      strayLine = false;
    } else if (!strayLine && b == '{') {
      depth = 1;
      braces = 1;
    } else if (!strayLine && b != ' ' && b != '\t' && b != '\r') {
      strayLine = true;
      strays++;
      if (++straysInARow > MOST_STRAYS) {
        throw new SpoiltException("more than " + MOST_STRAYS + " lines that are no list");
      }
    }
  }
}
