package dunlinhitch.experiments.testbed;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Parses and checks single lines of a {@link FaultSchedule}. Stateless. */
final class FaultLineParser {
  /** Latest time at which a fault may start or end. */
  private static final long MAX_TIME_MS = 120_000;

  private static final Pattern LINE_PATTERN =
      Pattern.compile("at (\\d+(?:ms|s))(?:\\.\\.(\\d+(?:ms|s)))? (\\w+) (.+)");

  private FaultLineParser() {}

  /**
   * Parses one line, from which comments have been removed.
   *
   * @param names the names of the test bed's brokers, stores and discovery
   * @throws IllegalArgumentException if the line is invalid; the message states what is expected
   */
  static ScheduledFault parse(String line, List<String> names) {
    Matcher matcher = LINE_PATTERN.matcher(line);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(
          "expected 'at TIME[..TIME] FAULT TARGET...', with times such as 1500ms or 3s");
    }
    long fromMs = parseMs(matcher.group(1));
    boolean hasEnd = matcher.group(2) != null;
    long toMs = hasEnd ? parseMs(matcher.group(2)) : 0;
    FaultKind kind = parseKind(matcher.group(3), hasEnd);
    List<String> targets = new ArrayList<>(List.of(matcher.group(4).split(" +")));
    int delayMs = 0;
    double share = 1;
    if (kind == FaultKind.LOSE) {
      share = parsePercent(targets.remove(targets.size() - 1));
    } else if (kind.hasDelay()) {
      delayMs = (int) parseMs(targets.remove(targets.size() - 1));
    }
    checkTargets(kind, targets, names);
    if ((kind.isLasting() && toMs <= fromMs) || Math.max(fromMs, toMs) > MAX_TIME_MS) {
      throw new IllegalArgumentException(
          "a fault must end after it begins and within "
              + MAX_TIME_MS / 1000
              + " s of the start of the schedule; got "
              + fromMs
              + " ms to "
              + toMs
              + " ms");
    }
    return new ScheduledFault(fromMs, toMs, kind, List.copyOf(targets), delayMs, share, line);
  }

  private static FaultKind parseKind(String keyword, boolean hasEnd) {
    FaultKind kind =
        FaultKind.of(keyword)
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "unknown fault: " + keyword + "; expected one of " + allKeywords()));
    if (kind.isLasting() != hasEnd) {
      throw new IllegalArgumentException(
          keyword
              + (kind.isLasting()
                  ? " requires an end: at TIME..TIME"
                  : " takes a single time: at TIME"));
    }
    return kind;
  }

  private static String allKeywords() {
    return Arrays.stream(FaultKind.values())
        .map(FaultKind::keyword)
        .collect(Collectors.joining(", "));
  }

  private static void checkTargets(FaultKind kind, List<String> targets, List<String> names) {
    int expected = kind.targetCount();
    boolean anyNumber = expected == FaultKind.ANY_NUMBER;
    if ((!anyNumber && targets.size() != expected) || targets.isEmpty()) {
      throw new IllegalArgumentException(
          kind.keyword()
              + " requires "
              + (anyNumber ? "one or more" : expected + "")
              + " target(s), got "
              + targets.size());
    }
    for (String target : targets) {
      if (!names.contains(target)) {
        throw new IllegalArgumentException(
            "unknown target: " + target + "; expected one of " + String.join(" ", names));
      }
      if (!kind.isLasting() && !target.startsWith("n")) {
        throw new IllegalArgumentException(
            "only a broker can be the target of "
                + kind.keyword()
                + ", but "
                + target
                + " is not a broker");
      }
    }
  }

  private static long parseMs(String text) {
    if (!text.matches("\\d{1,9}(ms|s)")) {
      throw new IllegalArgumentException("expected a time such as 200ms or 3s, got " + text);
    }
    return text.endsWith("ms")
        ? Long.parseLong(text.substring(0, text.length() - 2))
        : 1000 * Long.parseLong(text.substring(0, text.length() - 1));
  }

  private static double parsePercent(String text) {
    if (!text.matches("\\d{1,2}%|100%")) {
      throw new IllegalArgumentException("expected a share of 0% to 100%, got " + text);
    }
    return Integer.parseInt(text.substring(0, text.length() - 1)) / 100.0;
  }
}
