package dunlinhitch.experiments.fakes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Function;

/**
 * Base of the scripted fake stores; subclasses implement the protocols. Tests read the queues and
 * set the script from their own threads, while the store runs on its own thread.
 */
public abstract class Store {
  /** A part of a query as the store received it. */
  public record ReceivedPart(String id, int shard, String list, String text) {}

  /**
   * How the store answers a part. {@code BAD} and {@code LATER} answer with an error status, {@code
   * NOTHING} sends no answer, and {@code CUT} ends the connection in the middle of the part's
   * answer. Malformed answers: {@code NO_TEXT}, a value that is not valid UTF-8; {@code NO_PART},
   * an unknown part id; {@code NO_END}, an unknown status. Valid answers with an irregularity:
   * {@code NO_REPORT}, a malformed load report; {@code TWICE}, a duplicate.
   */
  public enum Behavior {
    GOOD,
    BAD,
    LATER,
    NOTHING,
    CUT,
    NO_TEXT,
    NO_PART,
    NO_END,
    NO_REPORT,
    TWICE
  }

  /** The fields of an answer, as written to the wire. */
  // A component that is an array is safe here: the array is never modified, and rows are never
  // compared.
  @SuppressWarnings("ArrayRecordComponent")
  protected record Row(String id, String end, String score, String report, byte[] value) {}

  /** Returns the answer that {@code behavior} prescribes for a part. */
  protected Row answerRow(ReceivedPart part, Behavior behavior) {
    boolean fails = behavior == Behavior.BAD || behavior == Behavior.LATER;
    byte[] value = (fails ? "" : value(part)).getBytes(StandardCharsets.UTF_8);
    if (behavior == Behavior.NO_TEXT) {
      value[value.length - 1] = (byte) 0xc3;
    }
    return new Row(
        behavior == Behavior.NO_PART ? "x" + part.id() : part.id(),
        fails
            ? behavior.name().toLowerCase(Locale.ROOT)
            : behavior == Behavior.NO_END ? "fine" : "good",
        score.apply(part),
        behavior == Behavior.NO_REPORT ? "latency_ms==;\u0007 queue" : "latency_ms=5,queue=0",
        value);
  }

  /** The answer to a first pass. */
  public record FirstAnswer(long records, String version, String emptyValue) {}

  /**
   * Function that returns the first-pass answer to a part, or null to send no answer. This field is
   * null if the store supports only single-pass queries.
   */
  public volatile Function<ReceivedPart, FirstAnswer> firstAnswer;

  /** Delay of first-pass answers in milliseconds. */
  public volatile int firstAnswerDelayMs;

  /** First passes in order of arrival. */
  public final BlockingQueue<ReceivedPart> firstPasses = new LinkedBlockingQueue<>();

  /** Instance name; each answer value contains the name. */
  public final String name;

  /** Parts in order of arrival. */
  public final BlockingQueue<ReceivedPart> receivedParts = new LinkedBlockingQueue<>();

  /** Ids of cancelled parts in order of arrival. */
  public final BlockingQueue<String> cancelledParts = new LinkedBlockingQueue<>();

  /** One entry for each health check. */
  public final BlockingQueue<String> healthChecks = new LinkedBlockingQueue<>();

  /** One entry for each liveness check of a connection. */
  public final BlockingQueue<String> livenessChecks = new LinkedBlockingQueue<>();

  /** Whether liveness checks are left unanswered. */
  public volatile boolean unresponsive;

  /** Delay of answers in milliseconds. */
  public volatile int answerDelayMs;

  /**
   * Time at which the last part arrived, as returned by System.nanoTime; 0 before the first part.
   */
  public volatile long lastReceivedNanos;

  /** Selects the behavior for a part. */
  public volatile Function<ReceivedPart, Behavior> script = part -> Behavior.GOOD;

  /** Returns the score in the answer to a part; a score must not contain blanks. */
  public volatile Function<ReceivedPart, String> score = part -> "1";

  /** Creates a store that answers all parts with {@code GOOD} at once. */
  protected Store(String name) {
    this.name = name;
  }

  /** Returns the loopback port on which the store listens. */
  public abstract int port();

  /** Returns the name of the store's protocol in endpoint lists. */
  public abstract String protocol();

  /** Stops the server and waits until the server has stopped. */
  public abstract void close() throws Exception;

  /**
   * Returns the value in the answer to a part. The value differs between the steps of a two-step
   * query.
   */
  public String value(ReceivedPart part) {
    return name
        + "/"
        + part.shard()
        + "/"
        + part.text()
        + (part.id().endsWith(".r") ? "/again" : "");
  }

  /** Records a part and looks up its behavior. */
  protected Behavior receive(ReceivedPart part) {
    lastReceivedNanos = System.nanoTime();
    receivedParts.add(part);
    return script.apply(part);
  }

  /** Returns the number of times that the answer to a part is written. */
  static int copies(Behavior behavior) {
    return switch (behavior) {
      case NOTHING -> 0;
      case TWICE -> 2;
      default -> 1;
    };
  }

  /**
   * Parses a request: lines {@code ID SHARD LIST LENGTH}, each followed by LENGTH bytes of text.
   */
  protected static List<ReceivedPart> parseParts(byte[] call) {
    List<ReceivedPart> parts = new ArrayList<>();
    int at = 0;
    while (at < call.length) {
      int line = at;
      while (call[line] != '\n') {
        line++;
      }
      String[] fields = new String(call, at, line - at, StandardCharsets.UTF_8).split(" ", 0);
      int length = Integer.parseInt(fields[3]);
      parts.add(
          new ReceivedPart(
              fields[0],
              Integer.parseInt(fields[1]),
              fields[2],
              new String(call, line + 1, length, StandardCharsets.UTF_8)));
      at = line + 1 + length;
    }
    return parts;
  }
}
