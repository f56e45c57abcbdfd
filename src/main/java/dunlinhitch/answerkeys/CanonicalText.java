package dunlinhitch.answerkeys;

import dunlinhitch.answerkeys.Rewrite.DropTerms;
import dunlinhitch.answerkeys.Rewrite.FoldCase;
import dunlinhitch.answerkeys.Rewrite.FoldSpaces;
import dunlinhitch.answerkeys.Rewrite.SortTerms;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * Computes the canonical form of a text, which is the fixed point of the rewrites. Rewrites in any
 * order reach the fixed point within {@link #MAX_PASSES} passes: the first pass folds case and
 * white space, which then stay folded; the second pass drops and sorts terms, and later passes do
 * not change its result.
 */
final class CanonicalText {
  /**
   * The maximum number of passes: two that may change the text, and one that confirms the fixed
   * point.
   */
  private static final int MAX_PASSES = 3;

  private CanonicalText() {}

  /**
   * The canonical form of the text.
   *
   * @param separator the separator of terms; null if no rule of the class rewrites terms
   */
  static String of(String text, List<Rewrite> rewrites, Character separator) {
    String current = text;
    for (int pass = 0; pass < MAX_PASSES; pass++) {
      String previous = current;
      for (Rewrite rewrite : rewrites) {
        current = apply(rewrite, current, separator);
      }
      if (current.equals(previous)) {
        return current;
      }
    }
    throw new IllegalStateException("no fixed point after " + MAX_PASSES + " passes: " + rewrites);
  }

  private static String apply(Rewrite rewrite, String text, Character separator) {
    if (rewrite instanceof FoldCase) {
      return lowerCase(text);
    }
    if (rewrite instanceof FoldSpaces) {
      return foldSpaces(text, separator);
    }
    if (rewrite instanceof SortTerms sort) {
      String[] terms = terms(text, sort.separator());
      Arrays.sort(terms);
      return String.join(String.valueOf(sort.separator()), terms);
    }
    if (rewrite instanceof DropTerms drop) {
      return Arrays.stream(terms(text, drop.separator()))
          .filter(term -> !drop.terms().contains(term))
          .collect(Collectors.joining(String.valueOf(drop.separator())));
    }
    // The other rewrites apply to attributes or to the tenant.
    return text;
  }

  private static String[] terms(String text, char separator) {
    return text.split(Pattern.quote(String.valueOf(separator)), -1);
  }

  /**
   * Converts each code point to lower case separately. The result for a code point must not depend
   * on neighbouring code points, because terms are reordered.
   */
  static String lowerCase(String text) {
    StringBuilder result = new StringBuilder(text.length());
    text.codePoints().map(Character::toLowerCase).forEach(result::appendCodePoint);
    return result.toString();
  }

  static boolean isBlank(char character) {
    return Character.isWhitespace(character) || Character.isSpaceChar(character);
  }

  private static String foldSpaces(String text, Character separator) {
    StringBuilder result = new StringBuilder(text.length());
    boolean blankBefore = false;
    for (int i = 0; i < text.length(); i++) {
      char current = text.charAt(i);
      if (isBlank(current)) {
        blankBefore = true;
        continue;
      }
      if (blankBefore && result.length() > 0 && !besideSeparator(result, current, separator)) {
        result.append(' ');
      }
      blankBefore = false;
      result.append(current);
    }
    return result.toString();
  }

  /**
   * Whether the last character of the result or the next character is a separator other than a
   * space.
   */
  private static boolean besideSeparator(StringBuilder result, char next, Character separator) {
    return separator != null
        && separator != ' '
        && (next == separator || result.charAt(result.length() - 1) == separator);
  }
}
