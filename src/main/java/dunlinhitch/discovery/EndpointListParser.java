package dunlinhitch.discovery;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits the response stream of discovery into JSON objects, regardless of line breaks and chunk
 * boundaries. An object ends with its closing brace. Text between objects is skipped, and its
 * non-blank lines are counted as stray lines.
 *
 * <p>Not thread-safe; each response has its own parser.
 */
final class EndpointListParser {
  /** Limit on consecutive stray lines; a server that exceeds it is not a discovery service. */
  private static final int MAX_STRAY_LINES = 32;

  private final int maxObjectBytes;
  private final JsonObjectScanner scanner = new JsonObjectScanner();

  /** The bytes of an incomplete object, followed by unused capacity. */
  private byte[] buffer = new byte[0];

  private int length;

  /** Number of bytes in the buffer that are already scanned. */
  private int scanned;

  private boolean inStrayLine;

  /** Stray lines since the last call of {@link #takeStrayLines}. */
  private int strayLines;

  /** Stray lines since the last object. */
  private int consecutiveStrayLines;

  private MalformedListException failure;

  /** Creates a parser that rejects objects longer than {@code maxObjectBytes}. */
  EndpointListParser(int maxObjectBytes) {
    this.maxObjectBytes = maxObjectBytes;
  }

  /** Returns true while an object has begun and is incomplete. */
  boolean isInObject() {
    return scanner.isInObject();
  }

  /** Returns the number of stray lines since the last call. */
  int takeStrayLines() {
    int taken = strayLines;
    strayLines = 0;
    return taken;
  }

  /** Throws if the text after the most recently returned objects is malformed. */
  void check() throws MalformedListException {
    if (failure != null) {
      throw failure;
    }
  }

  /**
   * Reads the next bytes and returns the objects that they complete. If the bytes contain malformed
   * text, this call returns the objects that precede the malformed text; {@link #check} and the
   * next call throw.
   */
  List<String> read(byte[] bytes) throws MalformedListException {
    check();
    List<String> objects = new ArrayList<>();
    try {
      split(bytes, objects);
    } catch (MalformedListException e) {
      failure = e;
      if (objects.isEmpty()) {
        throw e;
      }
    }
    return objects;
  }

  private void split(byte[] bytes, List<String> objects) throws MalformedListException {
    append(bytes);
    int from = 0;
    for (; scanned < length; scanned++) {
      byte next = buffer[scanned];
      if (scanner.isInObject()) {
        if (scanner.accept(next)) {
          consecutiveStrayLines = 0;
          int end = scanned + 1;
          objects.add(new String(buffer, from, end - from, StandardCharsets.UTF_8));
          from = end;
        }
      } else {
        from = next == '{' && !inStrayLine ? scanned : scanned + 1;
        acceptOutside(next);
      }
    }
    discard(from);
    if (length > maxObjectBytes) {
      throw new MalformedListException("object larger than " + maxObjectBytes + " bytes");
    }
  }

  private void append(byte[] bytes) {
    int needed = length + bytes.length;
    if (buffer.length < needed) {
      buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, needed));
    }
    System.arraycopy(bytes, 0, buffer, length, bytes.length);
    length = needed;
  }

  private void discard(int count) {
    length -= count;
    scanned = length;
    if (count > 0) {
      System.arraycopy(buffer, count, buffer, 0, length);
    }
  }

  private void acceptOutside(byte next) throws MalformedListException {
    if (next == '\n') {
      inStrayLine = false;
    } else if (inStrayLine) {
      return;
    } else if (next == '{') {
      scanner.begin();
    } else if (next != ' ' && next != '\t' && next != '\r') {
      onStrayLine();
    }
  }

  private void onStrayLine() throws MalformedListException {
    inStrayLine = true;
    strayLines++;
    consecutiveStrayLines++;
    if (consecutiveStrayLines > MAX_STRAY_LINES) {
      throw new MalformedListException(
          "more than " + MAX_STRAY_LINES + " consecutive lines outside of any JSON object");
    }
  }
}
