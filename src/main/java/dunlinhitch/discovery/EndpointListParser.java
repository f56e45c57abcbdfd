package dunlinhitch.discovery;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits the stream of discovery into JSON objects, however they are broken into lines and chunks:
 * a list may be indented. An object ends with the brace that closes it. Text between objects is
 * skipped; lines of it that are not blank are counted.
 *
 * <p>Not thread-safe; one for each response.
 */
final class EndpointListParser {
  /** More consecutive lines that are no list mean that the sender is not discovery. */
  private static final int MAX_STRAY_LINES = 32;

  private final int maxObjectBytes;
  private final JsonObjectScanner scanner = new JsonObjectScanner();

  /** The bytes of an incomplete object, and room behind them. */
  private byte[] buffer = new byte[0];

  private int length;

  /** Bytes of the buffer that are scanned. */
  private int scanned;

  private boolean inStrayLine;

  /** Stray lines since the count was taken last. */
  private int strayLines;

  /** Stray lines since the last object. */
  private int consecutiveStrayLines;

  private MalformedListException failure;

  /** No object may be longer than {@code maxObjectBytes}. */
  EndpointListParser(int maxObjectBytes) {
    this.maxObjectBytes = maxObjectBytes;
  }

  /** True while an object has begun and is incomplete. */
  boolean isInObject() {
    return scanner.isInObject();
  }

  /** Lines that were no part of an object, since the last call. */
  int takeStrayLines() {
    int taken = strayLines;
    strayLines = 0;
    return taken;
  }

  /** Throws where the text behind the objects read last is malformed. */
  void check() throws MalformedListException {
    if (failure != null) {
      throw failure;
    }
  }

  /**
   * Takes the next bytes and returns the objects that they complete. Objects before a malformed
   * place are returned; {@link #check} and the next call throw then.
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
      throw new MalformedListException("an object of more than " + maxObjectBytes + " bytes");
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
      throw new MalformedListException("more than " + MAX_STRAY_LINES + " lines that are no list");
    }
  }
}
