package dunlinhitch.config.syntax;

import java.nio.file.Path;
import java.util.List;

/** One line of a settings file: a name and its words, each with its place. */
public record Directive(Path file, int line, Word name, List<Word> words) {
  /** A word and the column that it begins in, from 1. */
  public record Word(String text, int column) {}

  public Directive {
    words = List.copyOf(words);
  }

  /** What is wrong with the line as a whole. */
  public SyntaxException wrong(String message) {
    return wrong(name, message);
  }

  /** What is wrong with one of its words. */
  public SyntaxException wrong(Word at, String message) {
    return new SyntaxException(file, line, at.column(), message);
  }
}
