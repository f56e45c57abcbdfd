package dunlinhitch.config.syntax;

import java.nio.file.Path;

/** A settings file can not be used; the message is one line that names the place and what to do. */
public final class SyntaxException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Lines and columns count from 1. */
  public SyntaxException(Path file, int line, int column, String message) {
    super(file + ":" + line + ":" + column + ": " + message.replaceAll("\\s+", " "));
  }

  public SyntaxException(Path file, String message) {
    super(file + ": " + message.replaceAll("\\s+", " "));
  }
}
