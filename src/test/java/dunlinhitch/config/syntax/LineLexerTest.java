package dunlinhitch.config.syntax;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tokens of a line and the columns reported in errors. */
class LineLexerTest {
  private static final Path FILE = Path.of("dunlinhitch.conf");

  private static List<Token> tokens(String line) {
    return LineLexer.tokens(FILE, 7, line);
  }

  private static String errorOf(String line) {
    return assertThrows(SyntaxException.class, () -> tokens(line)).getMessage();
  }

  @Test
  void blanksAndTabsSeparateTokensAndCommentsEndTheLine() {
    assertEquals(
        List.of(new Token("listen", 3), new Token("host:1", 11)), tokens("  listen \thost:1# x y"));
    assertEquals(List.of(), tokens("   # only a comment"));
    assertEquals(List.of(), tokens(""));
  }

  @Test
  void quotesKeepBlanksAndEscapes() {
    assertEquals(
        List.of(new Token("a \"b\" \\ # c", 1), new Token("d", 17)),
        tokens("\"a \\\"b\\\" \\\\ # c\"d"));
    assertEquals(List.of(new Token("", 1)), tokens("\"\""));
  }

  @Test
  void errorsNameTheColumn() {
    assertEquals("dunlinhitch.conf:7:3: missing closing quote on this line", errorOf("a \"b"));
    assertEquals(
        "dunlinhitch.conf:7:2: unexpected control character; use spaces or tabs to separate words",
        errorOf(" \u0001"));
  }
}
