package dunlinhitch.backend.frames;

import dunlinhitch.backend.RequestText;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.text.ExactText;
import io.vertx.core.buffer.Buffer;

/** Parses the payloads of reply frames from stores. Stateless. */
final class ReplyParser {
  private static final int PART_FIELDS = 4;
  private static final int FIRST_PASS_FIELDS = 6;
  private static final int MAX_VERSION_LENGTH = 64;

  /**
   * Maps every byte to a character: arbitrary bytes in a load report must not invalidate the rest
   * of the reply.
   */
  private static final String HEADER_CHARSET = "ISO-8859-1";

  /** The reply to one part; {@code report} is the text of the load report. */
  record PartReply(
      String partId, AttemptOutcome outcome, double score, String report, String value) {}

  /** The reply to one first-pass part; {@code report} is the text of the load report. */
  record FirstPassReply(
      String partId,
      AttemptOutcome outcome,
      String report,
      long records,
      String version,
      String emptyValue) {}

  private ReplyParser() {}

  /** Parses {@code ID END SCORE REPORT}, a line feed and the value. */
  static PartReply partReply(Buffer payload) throws MalformedFrameException {
    int lineEnd = lineEnd(payload);
    String[] fields = payload.getString(0, lineEnd, HEADER_CHARSET).split(" ", PART_FIELDS);
    if (lineEnd == payload.length() || fields.length != PART_FIELDS) {
      throw new MalformedFrameException(
          "malformed part reply: expected 4 header fields and a line feed, got "
              + fields.length
              + " fields");
    }
    String value = ExactText.of(payload.getBytes(lineEnd + 1, payload.length()));
    if (value == null) {
      throw new MalformedFrameException(
          "value of the reply to part " + fields[0] + " is not valid UTF-8");
    }
    double score = RequestText.parseScore(fields[2]);
    return new PartReply(fields[0], outcome(fields[1]), score, fields[3], value);
  }

  /**
   * Parses {@code ID END SCORE REPORT RECORDS VERSION}, a line feed and the value of an empty
   * block.
   */
  static FirstPassReply firstPassReply(Buffer payload) throws MalformedFrameException {
    int lineEnd = lineEnd(payload);
    String[] fields = payload.getString(0, lineEnd, HEADER_CHARSET).split(" ", FIRST_PASS_FIELDS);
    String value =
        lineEnd == payload.length()
            ? null
            : ExactText.of(payload.getBytes(lineEnd + 1, payload.length()));
    if (value == null
        || fields.length != FIRST_PASS_FIELDS
        || !fields[4].matches("[0-9]{1,18}")
        || fields[5].length() > MAX_VERSION_LENGTH) {
      throw new MalformedFrameException(
          "malformed first-pass reply: expected 6 header fields (RECORDS up to 18 digits, VERSION up to "
              + MAX_VERSION_LENGTH
              + " characters) and a UTF-8 value, got "
              + fields.length
              + " fields");
    }
    long records = Long.parseLong(fields[4]);
    return new FirstPassReply(fields[0], outcome(fields[1]), fields[3], records, fields[5], value);
  }

  private static int lineEnd(Buffer payload) {
    int position = 0;
    while (position < payload.length() && payload.getByte(position) != '\n') {
      position++;
    }
    return position;
  }

  private static AttemptOutcome outcome(String end) throws MalformedFrameException {
    AttemptOutcome outcome = RequestText.parseOutcome(end);
    if (outcome == null) {
      throw new MalformedFrameException("unknown outcome in a reply: " + end);
    }
    return outcome;
  }
}
