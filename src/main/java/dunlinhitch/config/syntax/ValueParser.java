package dunlinhitch.config.syntax;

import java.util.Map;
import java.util.TreeMap;

/** Validates and parses the values of directives. */
final class ValueParser {
  /** Units of time in microseconds. */
  private static final Map<String, Long> TIME_UNITS =
      Map.of(
          "us", 1L,
          "ms", 1_000L,
          "s", 1_000_000L,
          "m", 60_000_000L,
          "h", 3_600_000_000L,
          "d", 86_400_000_000L);

  /** Returned by the parsers for invalid text. */
  private static final int INVALID = -1;

  private static final int MAX_DIGITS = 9;
  private static final int MAX_PORT = 65_535;

  private ValueParser() {}

  /**
   * Checks the directive's only argument.
   *
   * @throws SyntaxException with the position of the argument, if it is not of this kind
   */
  static void check(Directive directive, ValueKind kind) {
    Token argument = directive.arguments().get(0);
    if (!isValid(argument.text(), kind)) {
      throw directive.error(argument, directive.name().text() + problem(argument.text(), kind));
    }
  }

  private static boolean isValid(String text, ValueKind kind) {
    return switch (kind) {
      case SWITCH -> text.equals("on") || text.equals("off");
      case COUNT -> text.matches("[0-9]{1,9}");
      case DURATION -> durationUs(text) >= 0;
      case PERCENT -> share(text) >= 0;
      case ADDRESS -> isAddress(text);
      case PATH, TEXT -> !text.isEmpty();
    };
  }

  private static String problem(String text, ValueKind kind) {
    return switch (kind) {
      case SWITCH -> " must be on or off, not " + text;
      case COUNT -> " must be a whole number of at most 9 digits, not " + text;
      case DURATION ->
          " must be a duration with a unit (" + unitNames() + "), such as 250ms, not " + text;
      case PERCENT -> " must be a percentage from 0% to 100%, not " + text;
      case ADDRESS -> " must be HOST:PORT, not " + text;
      case PATH, TEXT -> " must not be empty";
    };
  }

  private static String unitNames() {
    return String.join(" ", new TreeMap<>(TIME_UNITS).keySet());
  }

  private static boolean isAddress(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      return false;
    }
    String port = text.substring(colon + 1);
    return port.matches("[0-9]{1,5}") && Integer.parseInt(port) <= MAX_PORT;
  }

  /** Returns microseconds, or a negative number if the text is not a duration. */
  static long durationUs(String text) {
    int digits = 0;
    while (digits < text.length() && Character.isDigit(text.charAt(digits))) {
      digits++;
    }
    Long unitUs = TIME_UNITS.get(text.substring(digits));
    if (digits == 0 || digits > MAX_DIGITS || unitUs == null) {
      return INVALID;
    }
    return Long.parseLong(text.substring(0, digits)) * unitUs;
  }

  /** Returns a share from 0 to 1, or a negative number if the text is not a percentage. */
  static double share(String text) {
    if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,6})?%")) {
      return INVALID;
    }
    double share = Double.parseDouble(text.substring(0, text.length() - 1)) / 100;
    return share > 1 ? INVALID : share;
  }
}
