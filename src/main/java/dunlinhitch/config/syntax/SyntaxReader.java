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
 * Reads a settings file into sections. Each line holds one directive, {@code [kind label]} begins a
 * section, and {@code include FILE} inserts another file, whose path is relative to the including
 * file. The {@link Schema} defines the meaning of names.
 */
final class SyntaxReader {
  /** Maximum size of one file. */
  private static final int MAX_FILE_BYTES = 1 << 20;

  /** Maximum number of lines in all files together. */
  private static final int MAX_LINES = 20_000;

  /** Maximum depth of nested files, including the first one. */
  private static final int MAX_INCLUDE_DEPTH = 8;

  private static final String INCLUDE = "include";
  private static final String HEADER_START = "[";
  private static final String HEADER_END = "]";

  private final List<Section> sections = new ArrayList<>();
  private final Deque<Path> openFiles = new ArrayDeque<>();
  private int totalLines;

  private SyntaxReader() {
    sections.add(new Section("", "", null, new ArrayList<>()));
  }

  /**
   * Reads a file and all files that it includes.
   *
   * @return the sections in order; the first one holds the directives before any header
   * @throws SyntaxException if a file cannot be read or has a malformed line
   */
  static List<Section> read(Path file) {
    SyntaxReader reader = new SyntaxReader();
    reader.readFile(file, null);
    return reader.sections;
  }

  /** Reads one file; {@code include} is the directive that includes it, null for the first file. */
  private void readFile(Path file, Directive include) {
    Path absolute = file.toAbsolutePath().normalize();
    if (openFiles.contains(absolute)) {
      throw include.error("file includes itself: " + file);
    }
    if (openFiles.size() >= MAX_INCLUDE_DEPTH) {
      throw include.error(
          "more than "
              + MAX_INCLUDE_DEPTH
              + " nested files; move these directives into an including file");
    }
    openFiles.push(absolute);
    int lineNumber = 0;
    for (String line : contentOf(file, include).split("\n", -1)) {
      lineNumber++;
      totalLines++;
      if (totalLines > MAX_LINES) {
        throw new SyntaxException(
            file, lineNumber, 1, "more than " + MAX_LINES + " lines in total");
      }
      readLine(file, lineNumber, withoutCarriageReturn(line));
    }
    openFiles.pop();
  }

  private static String withoutCarriageReturn(String line) {
    return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
  }

  private static String contentOf(Path file, Directive include) {
    String problem;
    try {
      if (Files.size(file) <= MAX_FILE_BYTES) {
        return Files.readString(file);
      }
      problem = "file is larger than " + MAX_FILE_BYTES + " bytes";
    } catch (NoSuchFileException e) {
      problem = "file not found";
    } catch (CharacterCodingException e) {
      problem = "file is not valid UTF-8";
    } catch (IOException e) {
      problem = "cannot read file: " + e.getMessage();
    }
    throw include == null
        ? new SyntaxException(file, problem)
        : include.error(file + ": " + problem);
  }

  private void readLine(Path file, int lineNumber, String line) {
    List<Token> tokens = LineLexer.tokens(file, lineNumber, line);
    if (tokens.isEmpty()) {
      return;
    }
    Token first = tokens.get(0);
    if (first.text().startsWith(HEADER_START)) {
      beginSection(new Directive(file, lineNumber, first, List.of()), line);
      return;
    }
    Directive directive = new Directive(file, lineNumber, first, tokens.subList(1, tokens.size()));
    if (first.text().equals(INCLUDE)) {
      readIncluded(directive);
    } else {
      sections.get(sections.size() - 1).directives().add(directive);
    }
  }

  private void readIncluded(Directive include) {
    if (include.arguments().size() != 1) {
      throw include.error("include requires exactly one file name");
    }
    readFile(include.file().resolveSibling(include.arguments().get(0).text()), include);
  }

  private void beginSection(Directive header, String line) {
    int comment = line.indexOf('#');
    String text = (comment < 0 ? line : line.substring(0, comment)).trim();
    String content = text.endsWith(HEADER_END) ? text.substring(1, text.length() - 1).trim() : "";
    if (content.isEmpty()) {
      throw header.error(
          "malformed section header; expected [KIND] or [KIND NAME] on a line of its own");
    }
    String[] parts = content.split("\\s+", 2);
    String label = parts.length < 2 ? "" : parts[1];
    sections.add(new Section(parts[0], label, header, new ArrayList<>()));
  }
}
