package dunlinhitch.experiments.simulation;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One fault of a schedule. A schedule file has one fault per line; {@code #} begins a comment:
 *
 * <pre>
 * at 12s crash s1 s2 for 8s          the stores crash and restart in slow start
 * at 12s drain s3 for 20s            brokers are notified; the store restarts with the same id
 * at 12s move s3                     the store restarts at another address with the same id
 * at 12s replace s3                  the store drains; a store with a new id starts in slow start
 * at 12s..18s slow s4 x5             the service times of the store are multiplied by 5
 * at 12s..18s slow-all x1.6          the service times of all stores are multiplied by 1.6
 * at 12s..18s jump x1.8              the query rate is multiplied by 1.8
 * at 12s..18s late 3s                answers contain no load reports
 * at 12s..14s cut b0 s3              the link between broker and store is partitioned
 * at 12s room a for 5s               all stores of zone a crash
 * at 12s kill b1 for 2s              the broker crashes and restarts without state
 * at 12s withdraw s2 for 500ms       discovery withdraws the store and lists it again
 * at 12s..20s garble x0.1            10 % of the answers are corrupted
 * at 12s settings for 10s            a reload removes a query class, a later reload restores it
 * when s3 cold jump x2               the fault starts when s3 restarts and lasts 3 s
 * </pre>
 *
 * @param fromUs start of the fault in microseconds since the start of the run; if this is negative,
 *     the fault starts when the store {@code coldStartOf} restarts
 * @param toUs end in microseconds since the start of the run, or negative for the default duration
 *     of the kind
 * @param coldStartOf name of the store whose restart starts the fault, or empty if {@code fromUs}
 *     is not negative
 * @param targets names of stores, brokers or zones
 * @param factor the number after {@code x}, or the delay of {@code late} in microseconds
 */
public record Fault(
    long fromUs, long toUs, String coldStartOf, String kind, List<String> targets, double factor) {
  private static final Map<String, Long> UNITS =
      Map.of("us", 1L, "ms", 1_000L, "s", 1_000_000L, "m", 60_000_000L);
  private static final List<String> KINDS =
      List.of(
          "crash",
          "drain",
          "move",
          "replace",
          "slow",
          "slow-all",
          "jump",
          "late",
          "cut",
          "room",
          "kill",
          "withdraw",
          "garble",
          "settings");

  public Fault {
    targets = List.copyOf(targets);
  }

  /**
   * Parses the lines of a schedule file.
   *
   * @throws IllegalArgumentException with the file, the line and the error
   */
  static List<Fault> parse(Path file, List<String> lines) {
    List<Fault> faults = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      String line = lines.get(i).replaceAll("#.*", "").trim();
      if (!line.isEmpty()) {
        try {
          faults.add(parse(line));
        } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
          throw new IllegalArgumentException(
              file
                  + ":"
                  + (i + 1)
                  + ": "
                  + line
                  + ": "
                  + (e instanceof IndexOutOfBoundsException
                      ? "the line is incomplete"
                      : e.getMessage()));
        }
      }
    }
    return faults;
  }

  static Fault parse(String line) {
    List<String> words = new ArrayList<>(List.of(line.split("\\s+", 0)));
    long from = -1;
    long to = -1;
    String coldStartOf = "";
    String trigger = words.remove(0);
    if (trigger.equals("at")) {
      String[] times = words.remove(0).split("\\.\\.", 0);
      from = parseTime(times[0]);
      to = times.length > 1 ? parseTime(times[1]) : -1;
    } else if (trigger.equals("when")) {
      coldStartOf = words.remove(0);
      if (!words.remove(0).equals("cold")) {
        throw new IllegalArgumentException("expected 'when STORE cold KIND ...'");
      }
    } else {
      throw new IllegalArgumentException(
          "the line must begin with 'at' or 'when', found " + trigger);
    }
    String kind = words.remove(0);
    if (!KINDS.contains(kind)) {
      throw new IllegalArgumentException(
          "unknown fault kind: " + kind + "; expected one of " + String.join(", ", KINDS));
    }
    double factor = 0;
    List<String> targets = new ArrayList<>();
    for (int i = 0; i < words.size(); i++) {
      String word = words.get(i);
      if (word.equals("for")) {
        to = from + parseTime(words.get(++i));
      } else if (word.matches("x[0-9.]+")) {
        factor = Double.parseDouble(word.substring(1));
      } else if (kind.equals("late")) {
        factor = parseTime(word);
      } else {
        targets.add(word);
      }
    }
    return new Fault(from, to, coldStartOf, kind, targets, factor);
  }

  static long parseTime(String text) {
    int digits = 0;
    while (digits < text.length()
        && (Character.isDigit(text.charAt(digits)) || text.charAt(digits) == '.')) {
      digits++;
    }
    Long unit = UNITS.get(text.substring(digits));
    if (digits == 0 || unit == null) {
      throw new IllegalArgumentException(
          "expected a duration with a unit (us, ms, s or m), found " + text);
    }
    return Math.round(Double.parseDouble(text.substring(0, digits)) * unit);
  }

  private static String formatTime(long us) {
    return us % 1_000 != 0
        ? us + "us"
        : us % 1_000_000 != 0 ? us / 1_000 + "ms" : us / 1_000_000 + "s";
  }

  /** Formats the fault as a line of a schedule file. */
  @Override
  public String toString() {
    StringBuilder out =
        new StringBuilder(
            fromUs < 0
                ? "when " + coldStartOf + " cold"
                : "at " + formatTime(fromUs) + (toUs >= 0 ? ".." + formatTime(toUs) : ""));
    out.append(' ').append(kind);
    targets.forEach(name -> out.append(' ').append(name));
    if (kind.equals("late")) {
      out.append(' ').append(formatTime((long) factor));
    } else if (factor != 0) {
      out.append(String.format(Locale.ROOT, " x%s", factor));
    }
    return out.toString();
  }
}
