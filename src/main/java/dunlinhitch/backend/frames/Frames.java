package dunlinhitch.backend.frames;

import dunlinhitch.backend.ExactText;
import dunlinhitch.backend.RequestText;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;

/**
 * The frames of the stores: four bytes of length, least significant first, a letter, and the rest.
 */
final class Frames {
  /** No frame of a store is longer: the length of one that says so is not waited for. */
  static final int MOST_BYTES = 256 * 1024;

  private static final int HEAD = 4;
  private static final int MOST_VERSION = 64;

  /** One frame as it came. */
  record Frame(char letter, Buffer rest) {}

  /** The answer for one part. */
  record PartReply(String id, String end, double score, String report, String value) {}

  /** Takes frames as they come whole. */
  interface Sink {
    void take(Frame frame) throws MalformedException;
  }

  /** What came is no frame, or none that a store may send. */
  static final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedException(String message) {
      super(message);
    }
  }

  private Buffer rest = Buffer.buffer();

  /**
   * Adds what was read and hands on each frame as soon as it is whole: those ahead of a bad one
   * count.
   */
  void read(Buffer bytes, Sink sink) throws MalformedException {
    Buffer all = rest.length() == 0 ? bytes : rest.appendBuffer(bytes);
    int at = 0;
    while (all.length() - at >= HEAD) {
      long length = all.getUnsignedIntLE(at);
      if (length < 1 || length > MOST_BYTES) {
        throw new MalformedException("a frame of " + length + " bytes");
      }
      if (all.length() - at - HEAD < length) {
        break;
      }
      int from = at + HEAD;
      at = from + (int) length;
      sink.take(new Frame((char) all.getByte(from), all.slice(from + 1, at)));
    }
    if (at > 0) {
      rest = all.getBuffer(at, all.length());
    } else if (all
        != rest) { // what is added to one that has begun is not copied again with each byte
      rest = Buffer.buffer().appendBuffer(all);
    }
  }

  /** True where a frame has begun whose end is still to come. */
  boolean within() {
    return rest.length() > 0;
  }

  /** Reads the rest of a {@code q} frame: {@code ID END SCORE REPORT}, a line end, the value. */
  static PartReply partReply(Buffer rest) throws MalformedException {
    int line = 0;
    while (line < rest.length() && rest.getByte(line) != '\n') {
      line++;
    }
    // a report that can not be read may hold anything; it spoils itself only
    String[] words = rest.getString(0, line, "ISO-8859-1").split(" ", 4);
    if (line == rest.length() || words.length != 4) {
      throw new MalformedException("a reply without its line of four words");
    }
    String value = ExactText.of(rest.getBytes(line + 1, rest.length()));
    if (value == null) {
      throw new MalformedException("a value that is no UTF-8");
    }
    return new PartReply(words[0], words[1], RequestText.score(words[2]), words[3], value);
  }

  /** The first answer for one part. */
  record FirstReply(
      String id, String end, String report, long records, String version, String emptyValue) {}

  /**
   * Reads the rest of a {@code t} frame: {@code ID END SCORE REPORT RECORDS VERSION}, a line end,
   * the empty value.
   */
  static FirstReply firstReply(Buffer rest) throws MalformedException {
    int line = 0;
    while (line < rest.length() && rest.getByte(line) != '\n') {
      line++;
    }
    String[] words = rest.getString(0, line, "ISO-8859-1").split(" ", 6);
    String value =
        line == rest.length() ? null : ExactText.of(rest.getBytes(line + 1, rest.length()));
    if (value == null
        || words.length != 6
        || !words[4].matches("[0-9]{1,18}")
        || words[5].length() > MOST_VERSION) {
      throw new MalformedException("a first answer without its line of six words, or no UTF-8");
    }
    return new FirstReply(words[0], words[1], words[3], Long.parseLong(words[4]), words[5], value);
  }

  static Buffer frame(char letter, byte[] rest) {
    return Buffer.buffer(HEAD + 1 + rest.length)
        .appendUnsignedIntLE(1 + rest.length)
        .appendByte((byte) letter)
        .appendBytes(rest);
  }

  static Buffer frame(char letter, String rest) {
    return frame(letter, rest.getBytes(StandardCharsets.UTF_8));
  }
}
