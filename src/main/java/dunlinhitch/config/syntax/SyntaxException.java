package dunlinhitch.config.syntax;

import java.nio.file.Path;

/** A settings file is invalid; the message is one line with the position and the problem. */
public final class SyntaxException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an error at a position; lines and columns are counted from 1. */
  public SyntaxException(Path file, int line, int column, String message) {
    super(file + ":" + line + ":" + column + ": " + onOneLine(message));
  }

  /** Creates an error about a file as a whole. */
  public SyntaxException(Path file, String message) {
    super(file + ": " + onOneLine(message));
  }

  private static String onOneLine(String message) {
    return message.replaceAll("\\s+", " ");
  }
}
