package dunlinhitch.experiments.fakes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Function;

/** A store that does as its script says, on whichever wire. */
public abstract class Store {
  /** A part as it came. */
  public record Seen(String id, int shard, String list, String text) {}

  /**
   * What to do with a part: {@code CUT} breaks the answer off in the middle of the part's row.
   * Spoilt: a value that is no UTF-8, the id of no part, an end that there is none of. Good with
   * more than belongs to it: a report that can not be read, a second copy.
   */
  public enum Do {
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

  /** An answer as it is to be written. */
  @SuppressWarnings("ArrayRecordComponent") // written once and never compared
  protected record Row(String id, String end, String score, String report, byte[] value) {}

  protected Row row(Seen part, Do how) {
    boolean fails = how == Do.BAD || how == Do.LATER;
    byte[] value = (fails ? "" : value(part)).getBytes(StandardCharsets.UTF_8);
    if (how == Do.NO_TEXT) {
      value[value.length - 1] = (byte) 0xc3;
    }
    return new Row(
        how == Do.NO_PART ? "x" + part.id() : part.id(),
        fails ? how.name().toLowerCase(Locale.ROOT) : how == Do.NO_END ? "fine" : "good",
        score.apply(part),
        how == Do.NO_REPORT ? "latency_ms==;\u0007 queue" : "latency_ms=5,queue=0",
        value);
  }

  /** A first answer; null: none comes. */
  public record First(long records, String version, String emptyValue) {}

  /** What the store says first of a part; null: it knows a single phase. */
  public volatile Function<Seen, First> first;

  /** How long a first answer takes. */
  public volatile int firstAfterMs;

  /** First passes as they came. */
  public final BlockingQueue<Seen> firstSeen = new LinkedBlockingQueue<>();

  public final String name;
  public final BlockingQueue<Seen> seen = new LinkedBlockingQueue<>();
  public final BlockingQueue<String> givenUp = new LinkedBlockingQueue<>();
  public final BlockingQueue<String> probes = new LinkedBlockingQueue<>();

  /** Checks that came; a mute store answers none. */
  public final BlockingQueue<String> checks = new LinkedBlockingQueue<>();

  public volatile boolean mute;

  /** How long a part takes. */
  public volatile int answerAfterMs;

  /** When the last part came, by System.nanoTime; 0: none did. */
  public volatile long lastSeenNanos;

  public volatile Function<Seen, Do> script = part -> Do.GOOD;

  /** What a part is ranked by: one word. */
  public volatile Function<Seen, String> score = part -> "1";

  protected Store(String name) {
    this.name = name;
  }

  public abstract int port();

  public abstract String protocol();

  public abstract void close() throws Exception;

  /** Of a second step's part another than of the first's. */
  public String value(Seen part) {
    return name
        + "/"
        + part.shard()
        + "/"
        + part.text()
        + (part.id().endsWith(".r") ? "/again" : "");
  }

  protected Do take(Seen part) {
    lastSeenNanos = System.nanoTime();
    seen.add(part);
    return script.apply(part);
  }

  /** The parts of a call: lines {@code ID SHARD LIST LENGTH}, each with so many bytes behind it. */
  protected static List<Seen> parts(byte[] call) {
    List<Seen> parts = new ArrayList<>();
    int at = 0;
    while (at < call.length) {
      int line = at;
      while (call[line] != '\n') {
        line++;
      }
      String[] words = new String(call, at, line - at, StandardCharsets.UTF_8).split(" ", 0);
      int length = Integer.parseInt(words[3]);
      parts.add(
          new Seen(
              words[0],
              Integer.parseInt(words[1]),
              words[2],
              new String(call, line + 1, length, StandardCharsets.UTF_8)));
      at = line + 1 + length;
    }
    return parts;
  }
}
