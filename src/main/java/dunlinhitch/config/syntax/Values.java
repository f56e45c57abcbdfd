package dunlinhitch.config.syntax;

import java.util.Map;
import java.util.TreeMap;

/** Words that are values: times, sizes, addresses. */
final class Values {
  private static final Map<String, Long> TIMES =
      Map.of(
          "us",
          1L,
          "ms",
          1_000L,
          "s",
          1_000_000L,
          "m",
          60_000_000L,
          "h",
          3_600_000_000L,
          "d",
          86_400_000_000L);
  private static final Map<String, Long> SIZES =
      Map.of("", 1L, "k", 1L << 10, "m", 1L << 20, "g", 1L << 30);

  private Values() {}

  static void check(Directive directive, Schema.Kind kind) {
    Directive.Word word = directive.words().get(0);
    String text = word.text();
    String name = directive.name().text();
    switch (kind) {
      case SWITCH -> {
        if (!text.equals("on") && !text.equals("off")) {
          throw directive.wrong(word, name + " is on or off, not " + text);
        }
      }
      case COUNT -> {
        if (!text.matches("[0-9]{1,9}")) {
          throw directive.wrong(word, name + " is a whole number, not " + text);
        }
      }
      case DURATION -> {
        if (durationUs(text) < 0) {
          throw directive.wrong(
              word,
              name + " is a time with its unit (" + units(TIMES) + "), such as 250ms, not " + text);
        }
      }
      case SIZE -> {
        if (size(text) < 0) {
          throw directive.wrong(
              word, name + " is a size such as 64k (" + units(SIZES) + "), not " + text);
        }
      }
      case PERCENT -> {
        if (share(text) < 0) {
          throw directive.wrong(word, name + " is a share from 0% to 100%, not " + text);
        }
      }
      case ADDRESS -> {
        int colon = text.lastIndexOf(':');
        boolean port =
            colon > 0
                && text.substring(colon + 1).matches("[0-9]{1,5}")
                && Integer.parseInt(text.substring(colon + 1)) <= 65_535;
        if (!port) {
          throw directive.wrong(word, name + " is HOST:PORT, not " + text);
        }
      }
      case PATH, TEXT -> {
        if (text.isEmpty()) {
          throw directive.wrong(word, name + " is empty");
        }
      }
    }
  }

  private static String units(Map<String, Long> of) {
    return String.join(" ", new TreeMap<>(of).keySet()).trim();
  }

  /** Microseconds, or below 0 where it is no time. */
  static long durationUs(String text) {
    return with(TIMES, text);
  }

  /** From 0 to 1, or below 0 where it is no share. */
  static double share(String text) {
    double share =
        text.matches("[0-9]{1,3}(\\.[0-9]{1,6})?%")
            ? Double.parseDouble(text.substring(0, text.length() - 1)) / 100
            : -1;
    return share > 1 ? -1 : share;
  }

  /** Bytes, or below 0 where it is no size. */
  static long size(String text) {
    return with(SIZES, text);
  }

  private static long with(Map<String, Long> units, String text) {
    int digits = 0;
    while (digits < text.length() && Character.isDigit(text.charAt(digits))) {
      digits++;
    }
    Long unit = units.get(text.substring(digits));
    return digits == 0 || digits > 9 || unit == null
        ? -1
        : Long.parseLong(text.substring(0, digits)) * unit;
  }
}
