package dunlinhitch.config.syntax;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits one line into tokens separated by spaces and tabs; {@code #} begins a comment. A token in
 * double quotes may contain spaces and the escapes {@code \"} and {@code \\}.
 */
final class LineLexer {
  private static final char COMMENT = '#';
  private static final char QUOTE = '"';
  private static final char ESCAPE = '\\';

  /** Characters that end an unquoted token. */
  private static final String TOKEN_END = " \t#\"";

  private final Path file;
  private final int lineNumber;
  private final String line;
  private int position;

  private LineLexer(Path file, int lineNumber, String line) {
    this.file = file;
    this.lineNumber = lineNumber;
    this.line = line;
  }

  /** Returns the tokens of a line; empty for a blank line or a comment. */
  static List<Token> tokens(Path file, int lineNumber, String line) {
    return new LineLexer(file, lineNumber, line).tokens();
  }

  private List<Token> tokens() {
    List<Token> tokens = new ArrayList<>();
    while (position < line.length()) {
      char next = line.charAt(position);
      if (next == COMMENT) {
        break;
      }
      if (next == ' ' || next == '\t') {
        position++;
      } else if (next == QUOTE) {
        tokens.add(quotedToken());
      } else if (next < ' ') {
        throw error(position, "unexpected control character; use spaces or tabs to separate words");
      } else {
        tokens.add(plainToken());
      }
    }
    return tokens;
  }

  private Token plainToken() {
    int begin = position;
    while (position < line.length() && TOKEN_END.indexOf(line.charAt(position)) < 0) {
      position++;
    }
    return new Token(line.substring(begin, position), begin + 1);
  }

  private Token quotedToken() {
    int begin = position;
    position++;
    StringBuilder text = new StringBuilder();
    while (position < line.length() && line.charAt(position) != QUOTE) {
      if (line.charAt(position) == ESCAPE && position + 1 < line.length()) {
        position++;
      }
      text.append(line.charAt(position));
      position++;
    }
    if (position >= line.length()) {
      throw error(begin, "missing closing quote on this line");
    }
    position++;
    return new Token(text.toString(), begin + 1);
  }

  private SyntaxException error(int index, String message) {
    return new SyntaxException(file, lineNumber, index + 1, message);
  }
}
