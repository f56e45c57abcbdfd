package dunlinhitch.backend;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Effect.FirstStep;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Encodes calls to stores and parses the fields of their results; the text is the same over every
 * store protocol. Stateless.
 */
public final class RequestText {
  private static final long US_PER_MS = 1000;

  private RequestText() {}

  /**
   * Encodes a call: for each part a line {@code ID SHARD LIST LENGTH}, followed by the query's text
   * of {@code LENGTH} bytes. The deadline is sent as the remaining time in milliseconds.
   */
  public static byte[] of(List<AttemptRequest> parts, long nowUs) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (AttemptRequest part : parts) {
      byte[] text = part.text().getBytes(StandardCharsets.UTF_8);
      String options =
          "d="
              + Math.max(1, (part.dueUs() - nowUs) / US_PER_MS)
              + (part.key().isEmpty() ? "" : ",k=" + part.key())
              + (part.firstStep() == null ? "" : encode(part.firstStep()));
      out.writeBytes(
          (part.partId() + " " + part.shard() + " " + options + " " + text.length + "\n")
              .getBytes(StandardCharsets.UTF_8));
      out.writeBytes(text);
    }
    return out.toByteArray();
  }

  /**
   * Encodes the result of the query's first step. A part of the second step refers to this result.
   */
  private static String encode(FirstStep firstStep) {
    return ",from="
        + String.join("+", firstStep.shards().stream().map(String::valueOf).toList())
        + ",whole="
        + (firstStep.complete() ? 1 : 0);
  }

  /**
   * Parses the score by which a part's result is ranked. Returns NaN, which ranks last, if the
   * field is not a finite number.
   */
  public static double parseScore(String field) {
    try {
      double score = Double.parseDouble(field);
      return Double.isFinite(score) ? score : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /**
   * Parses the outcome of a part; returns null if the protocol does not define the field's value.
   */
  public static AttemptOutcome parseOutcome(String field) {
    return switch (field) {
      case "good" -> AttemptOutcome.OK;
      case "bad" -> AttemptOutcome.ERROR;
      case "later" -> AttemptOutcome.FULL;
      default -> null;
    };
  }
}
