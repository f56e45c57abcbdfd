package dunlinhitch.text;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonValue;

/** Parses JSON whose nesting is bounded. Stateless. */
public final class BoundedJson {
  /** Maximum nesting depth. The formats that the program reads have up to six levels. */
  public static final int MAX_DEPTH = 32;

  private BoundedJson() {}

  /**
   * Parses a JSON text.
   *
   * @throws RuntimeException if the text is no JSON or is nested more than {@link #MAX_DEPTH}
   *     levels deep; the message is plain text
   */
  public static JsonValue parse(String text) {
    checkDepth(text);
    return Json.parse(text);
  }

  /**
   * Checks the depth before the text is parsed, because the parser recurses once per level and
   * could exhaust the stack. The depth is exact up to the first syntax error, where the parser
   * stops.
   */
  private static void checkDepth(String text) {
    int depth = 0;
    boolean inString = false;
    for (int i = 0; i < text.length(); i++) {
      char next = text.charAt(i);
      if (inString) {
        if (next == '\\') {
          i++; // the escaped character does not end the string
        }
        inString = next != '"';
      } else if (next == '"') {
        inString = true;
      } else if (next == '{' || next == '[') {
        depth++;
      } else if (next == '}' || next == ']') {
        depth--;
      }
      if (depth > MAX_DEPTH) {
        throw new IllegalArgumentException("nested more than " + MAX_DEPTH + " levels deep");
      }
    }
  }
}
