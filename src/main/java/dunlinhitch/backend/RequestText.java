package dunlinhitch.backend;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Effect.FirstStep;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * What is the same on every store's wire: the text of a call and the words for how a part ended.
 */
public final class RequestText {
  private RequestText() {}

  /**
   * For each part a line {@code ID SHARD LIST LENGTH} and so many bytes of the query's text. Here
   * the moment until which the broker waits becomes the milliseconds left.
   */
  public static byte[] of(List<AttemptRequest> parts, long nowUs) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    for (AttemptRequest part : parts) {
      byte[] text = part.text().getBytes(StandardCharsets.UTF_8);
      String list =
          "d="
              + Math.max(1, (part.dueUs() - nowUs) / 1000)
              + (part.key().isEmpty() ? "" : ",k=" + part.key())
              + (part.after() == null ? "" : of(part.after()));
      out.writeBytes(
          (part.partId() + " " + part.shard() + " " + list + " " + text.length + "\n")
              .getBytes(StandardCharsets.UTF_8));
      out.writeBytes(text);
    }
    return out.toByteArray();
  }

  private static String of(FirstStep after) {
    return ",from="
        + String.join("+", after.in().stream().map(String::valueOf).toList())
        + ",whole="
        + (after.whole() ? 1 : 0);
  }

  /**
   * What a store ranks a part by, or NaN where the word is no number: such a part ranks last, and
   * is as good as any.
   */
  public static double score(String word) {
    try {
      double score = Double.parseDouble(word);
      return Double.isFinite(score) ? score : Double.NaN;
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }

  /** How a part ended, or null where the word is none of a store's. */
  public static AttemptOutcome end(String word) {
    return switch (word) {
      case "good" -> AttemptOutcome.OK;
      case "bad" -> AttemptOutcome.ERROR;
      case "later" -> AttemptOutcome.FULL;
      default -> null;
    };
  }
}
