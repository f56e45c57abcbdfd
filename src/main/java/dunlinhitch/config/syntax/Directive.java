package dunlinhitch.config.syntax;

import java.nio.file.Path;
import java.util.List;

/**
 * One line of a settings file: a name and its arguments.
 *
 * @param file the file that contains the line
 * @param line number of the line, from 1
 * @param name the first token
 * @param arguments the tokens after the name
 */
public record Directive(Path file, int line, Token name, List<Token> arguments) {
  /** Copies the arguments. */
  public Directive {
    arguments = List.copyOf(arguments);
  }

  /** Returns an error about the directive, with the position of its name. */
  public SyntaxException error(String message) {
    return error(name, message);
  }

  /** Returns an error with the position of one of its tokens. */
  public SyntaxException error(Token token, String message) {
    return new SyntaxException(file, line, token.column(), message);
  }
}
