package dunlinhitch.experiments.simulation;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * One trouble of a day. A script has one a line, {@code #} begins a comment:
 *
 * <pre>
 * at 12s crash s1 s2 for 8s          stores die and come back cold
 * at 12s drain s3 for 20s            told to all brokers, then gone, then back under its old id
 * at 12s move s3                     the same id at another address, restarted
 * at 12s replace s3                  its successor has a new id and is cold
 * at 12s..18s slow s4 x5             crawls
 * at 12s..18s slow-all x1.6
 * at 12s..18s jump x1.8              of the traffic
 * at 12s..18s late 3s                load reports
 * at 12s..14s cut b0 s3              nothing passes between the two
 * at 12s room a for 5s               all stores of a room
 * at 12s kill b1 for 2s              a broker, which begins from nothing
 * at 12s withdraw s2 for 500ms       its record is withdrawn and back
 * at 12s..20s garble x0.1            of the answers are spoilt
 * at 12s settings for 10s            a class is dropped with queries open, and comes back
 * when s3 cold jump x2               from when the store has started cold, for 3 s
 * </pre>
 *
 * @param fromUs since the start of the day (microseconds); below 0: when {@code coldStartOf} starts
 *     cold
 * @param toUs the end, where it has one
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
   * Parses the lines of a day file; throws an {@link IllegalArgumentException} that names the line
   * and the error.
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
                      ? "something is missing"
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
    String cold = "";
    String how = words.remove(0);
    if (how.equals("at")) {
      String[] times = words.remove(0).split("\\.\\.", 0);
      from = parseTime(times[0]);
      to = times.length > 1 ? parseTime(times[1]) : -1;
    } else if (how.equals("when")) {
      cold = words.remove(0);
      if (!words.remove(0).equals("cold")) {
        throw new IllegalArgumentException("when STORE cold ...");
      }
    } else {
      throw new IllegalArgumentException("a line begins with at or when");
    }
    String what = words.remove(0);
    if (!KINDS.contains(what)) {
      throw new IllegalArgumentException(
          "no such trouble: " + what + "; there is " + String.join(", ", KINDS));
    }
    double by = 0;
    List<String> who = new ArrayList<>();
    for (int i = 0; i < words.size(); i++) {
      String word = words.get(i);
      if (word.equals("for")) {
        to = from + parseTime(words.get(++i));
      } else if (word.matches("x[0-9.]+")) {
        by = Double.parseDouble(word.substring(1));
      } else if (what.equals("late")) {
        by = parseTime(word);
      } else {
        who.add(word);
      }
    }
    return new Fault(from, to, cold, what, who, by);
  }

  static long parseTime(String text) {
    int digits = 0;
    while (digits < text.length()
        && (Character.isDigit(text.charAt(digits)) || text.charAt(digits) == '.')) {
      digits++;
    }
    Long unit = UNITS.get(text.substring(digits));
    if (digits == 0 || unit == null) {
      throw new IllegalArgumentException("no time with a unit (us ms s m): " + text);
    }
    return Math.round(Double.parseDouble(text.substring(0, digits)) * unit);
  }

  private static String parseTime(long us) {
    return us % 1_000 != 0
        ? us + "us"
        : us % 1_000_000 != 0 ? us / 1_000 + "ms" : us / 1_000_000 + "s";
  }

  /** As a script has it. */
  @Override
  public String toString() {
    StringBuilder out =
        new StringBuilder(
            fromUs < 0
                ? "when " + coldStartOf + " cold"
                : "at " + parseTime(fromUs) + (toUs >= 0 ? ".." + parseTime(toUs) : ""));
    out.append(' ').append(kind);
    targets.forEach(name -> out.append(' ').append(name));
    if (kind.equals("late")) {
      out.append(' ').append(parseTime((long) factor));
    } else if (factor != 0) {
      out.append(String.format(Locale.ROOT, " x%s", factor));
    }
    return out.toString();
  }
}
