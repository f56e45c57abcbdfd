package dunlinhitch.config.syntax;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Reads the lines of a settings file, in the manner of classic daemons: one directive a line, a
 * name and words behind it; {@code [kind label]} begins a section; {@code #} begins a comment;
 * {@code "..."} holds blanks, with {@code \"} and {@code \\} in it; {@code include FILE} reads
 * another file in its place, its path relative to the file that names it. What the names mean is
 * {@link Schema}'s.
 */
public final class SyntaxReader {
  static final int MOST_BYTES = 1 << 20;
  static final int MOST_LINES = 20_000;
  static final int MOST_DEPTH = 8;
  private final List<Section> sections = new ArrayList<>();
  private final Deque<Path> open = new ArrayDeque<>();
  private int lines;

  private SyntaxReader() {
    sections.add(new Section("", "", null, new ArrayList<>()));
  }

  /**
   * The sections in order; the first is the one without a head. Throws a {@link SyntaxException}.
   */
  public static List<Section> read(Path file) {
    SyntaxReader reader = new SyntaxReader();
    reader.file(file, null);
    return reader.sections;
  }

  private void file(Path file, Directive from) {
    Path whole = file.toAbsolutePath().normalize();
    if (open.contains(whole)) {
      throw from.wrong("this file includes itself: " + file);
    }
    if (open.size() >= MOST_DEPTH) {
      throw from.wrong(
          "files are included "
              + MOST_DEPTH
              + " deep; put these directives into one of the others");
    }
    open.push(whole);
    int number = 0;
    for (String line : text(file, from).split("\n", -1)) {
      number++;
      if (++lines > MOST_LINES) {
        throw new SyntaxException(file, number, 1, "more than " + MOST_LINES + " lines in all");
      }
      line(file, number, line.endsWith("\r") ? line.substring(0, line.length() - 1) : line);
    }
    open.pop();
  }

  private static String text(Path file, Directive from) {
    String why;
    try {
      if (Files.size(file) > MOST_BYTES) {
        why = "it is larger than " + MOST_BYTES + " bytes";
      } else {
        return Files.readString(file);
      }
    } catch (NoSuchFileException e) {
      why = "there is no such file";
    } catch (CharacterCodingException e) {
      why = "it is not in UTF-8";
    } catch (IOException e) {
      why = "it can not be read: " + e.getMessage();
    }
    throw from == null ? new SyntaxException(file, why) : from.wrong(file + ": " + why);
  }

  private void line(Path file, int number, String line) {
    List<Directive.Word> words = words(file, number, line);
    if (words.isEmpty()) {
      return;
    }
    Directive.Word first = words.get(0);
    if (first.text().startsWith("[")) {
      head(file, number, line, first);
      return;
    }
    Directive directive = new Directive(file, number, first, words.subList(1, words.size()));
    if (first.text().equals("include")) {
      if (directive.words().size() != 1) {
        throw directive.wrong("include wants the name of one file");
      }
      file(file.resolveSibling(directive.words().get(0).text()), directive);
    } else {
      sections.get(sections.size() - 1).directives().add(directive);
    }
  }

  private void head(Path file, int number, String line, Directive.Word first) {
    int hash = line.indexOf('#');
    String text = (hash < 0 ? line : line.substring(0, hash)).trim();
    Directive head = new Directive(file, number, first, List.of());
    if (!text.endsWith("]") || text.length() < 3) {
      throw head.wrong("a section begins with [KIND] or [KIND NAME] on a line of its own");
    }
    String[] parts = text.substring(1, text.length() - 1).trim().split("\\s+", 2);
    sections.add(new Section(parts[0], parts.length < 2 ? "" : parts[1], head, new ArrayList<>()));
  }

  private static List<Directive.Word> words(Path file, int number, String line) {
    List<Directive.Word> words = new ArrayList<>();
    int at = 0;
    while (at < line.length()) {
      char c = line.charAt(at);
      if (c == ' ' || c == '\t') {
        at++;
      } else if (c == '#') {
        break;
      } else if (c == '"') {
        int begin = at++;
        StringBuilder text = new StringBuilder();
        while (at < line.length() && line.charAt(at) != '"') {
          if (line.charAt(at) == '\\' && at + 1 < line.length()) {
            at++;
          }
          text.append(line.charAt(at++));
        }
        if (at >= line.length()) {
          throw new SyntaxException(
              file, number, begin + 1, "this quote is not closed on its line");
        }
        at++;
        words.add(new Directive.Word(text.toString(), begin + 1));
      } else if (c < ' ') {
        throw new SyntaxException(
            file, number, at + 1, "a control character; only blanks and tabs part words");
      } else {
        int begin = at;
        while (at < line.length() && " \t#\"".indexOf(line.charAt(at)) < 0) {
          at++;
        }
        words.add(new Directive.Word(line.substring(begin, at), begin + 1));
      }
    }
    return words;
  }
}
