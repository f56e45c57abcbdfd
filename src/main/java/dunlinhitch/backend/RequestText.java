package dunlinhitch.backend;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Effect.FirstStep;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The text of a call and of its results, which is the same over every store protocol. Stateless.
 */
public final class RequestText {
  private static final long US_PER_MS = 1000;

  private RequestText() {}

  /**
   * Encodes a call: for each part a line {@code ID SHARD LIST LENGTH} and so many bytes of the
   * query's text. The deadline is sent as the milliseconds that are left.
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

  /** The result of the first pass that the part builds on. */
  private static String encode(FirstStep firstPass) {
    return ",from="
        + String.join("+", firstPass.shards().stream().map(String::valueOf).toList())
        + ",whole="
        + (firstPass.complete() ? 1 : 0);
  }

  /**
   * Parses the score that ranks a part's result; NaN, which ranks last, where the field is no
   * finite number.
   */
  public static double score(String field) {
    try {
      double score = Double.parseDouble(field);
      return Double.isFinite(score) ? score : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /** Parses how a part ended; null where the field is not defined by the protocol. */
  public static AttemptOutcome end(String field) {
    return switch (field) {
      case "good" -> AttemptOutcome.OK;
      case "bad" -> AttemptOutcome.ERROR;
      case "later" -> AttemptOutcome.FULL;
      default -> null;
    };
  }
}
