package dunlinhitch.config.syntax;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.text.similarity.LevenshteinDistance;

/**
 * Which sections and directives there are and what their words are; what is unknown is refused with
 * the nearest that is known.
 */
public final class Schema {
  /** What the words of a directive are. */
  public enum Kind {
    TEXT("a word"),
    SWITCH("on or off"),
    COUNT("a whole number"),
    DURATION("a time such as 250ms, 10s, 5m or 1h"),
    SIZE("a size such as 512, 64k or 16m"),
    PERCENT("a share such as 30% or 2.5%"),
    ADDRESS("HOST:PORT"),
    PATH("a file or folder");

    private final String words;

    Kind(String words) {
      this.words = words;
    }
  }

  /**
   * One directive; {@code many}: it may stand more than once. {@code standard} null: there is none.
   */
  public record Known(
      String name, Kind kind, boolean required, boolean many, String standard, String help) {}

  /** The directives of one kind of section. */
  public static final class Part {
    private final String kind;
    private final boolean labelled;
    private final Map<String, Known> known = new LinkedHashMap<>();

    private Part(String kind, boolean labelled) {
      this.kind = kind;
      this.labelled = labelled;
    }

    public Part required(String name, Kind kind, String help) {
      return add(new Known(name, kind, true, false, null, help));
    }

    public Part may(String name, Kind kind, String standard, String help) {
      return add(new Known(name, kind, false, false, standard, help));
    }

    public Part many(String name, Kind kind, boolean required, String help) {
      return add(new Known(name, kind, required, true, null, help));
    }

    private Part add(Known directive) {
      known.put(directive.name(), directive);
      return this;
    }

    public Collection<Known> known() {
      return known.values();
    }
  }

  private final Map<String, Part> parts = new LinkedHashMap<>();

  /**
   * A kind of section; {@code labelled}: it has a name, and there may be several. The kind "" is
   * what stands before any head.
   */
  public Part part(String kind, boolean labelled) {
    return parts.computeIfAbsent(kind, k -> new Part(k, labelled));
  }

  /**
   * Reads and checks a file whole; a {@link SyntaxException} names the first thing that is wrong.
   */
  public List<Block> read(Path file) {
    List<Block> blocks = new ArrayList<>();
    for (Section section : SyntaxReader.read(file)) {
      Part part = parts.get(section.kind());
      if (part == null) {
        throw section
            .head()
            .wrong(
                "no such section: ["
                    + section.kind()
                    + "]"
                    + nearest(section.kind(), parts.keySet()));
      }
      if (section.head() != null) {
        checkHead(section, part, blocks);
      }
      blocks.add(block(file, section, part));
    }
    return blocks;
  }

  private static void checkHead(Section section, Part part, List<Block> before) {
    if (part.labelled == section.label().isEmpty()) {
      throw section
          .head()
          .wrong(
              part.labelled
                  ? "this section wants a name: [" + part.kind + " NAME]"
                  : "this section has no name: [" + part.kind + "]");
    }
    for (Block other : before) {
      if (other.kind().equals(section.kind()) && other.label().equals(section.label())) {
        throw section
            .head()
            .wrong("this section stood before, on line " + other.section().head().line());
      }
    }
  }

  private static Block block(Path file, Section section, Part part) {
    Map<String, List<Directive>> found = new LinkedHashMap<>();
    for (Directive directive : section.directives()) {
      String name = directive.name().text();
      Known known = part.known.get(name);
      if (known == null) {
        throw directive.wrong(
            "no such directive"
                + (part.kind.isEmpty() ? "" : " in [" + part.kind + "]")
                + ": "
                + name
                + nearest(name, part.known.keySet()));
      }
      if (directive.words().size() != 1) {
        throw directive.wrong(
            name
                + " wants "
                + known.kind().words
                + (directive.words().isEmpty() ? "" : ", and nothing behind it"));
      }
      List<Directive> all = found.computeIfAbsent(name, n -> new ArrayList<>());
      if (!known.many() && !all.isEmpty()) {
        throw directive.wrong(name + " stood before, on line " + all.get(0).line());
      }
      all.add(directive);
      Values.check(directive, known.kind());
    }
    for (Known known : part.known.values()) {
      if (known.required() && !found.containsKey(known.name())) {
        String what = "[" + part.kind + "] wants " + known.name() + ": " + known.kind().words;
        throw section.head() == null ? new SyntaxException(file, what) : section.head().wrong(what);
      }
    }
    return new Block(section, part, found);
  }

  /** Says which one is meant, where one is near. */
  private static String nearest(String word, Collection<String> known) {
    LevenshteinDistance distance = LevenshteinDistance.getDefaultInstance();
    return known.stream()
        .filter(name -> !name.isEmpty())
        .min(Comparator.comparing(name -> distance.apply(word, name)))
        .map(
            name ->
                distance.apply(word, name) <= Math.max(2, name.length() / 2)
                    ? "; did you mean " + name + "?"
                    : "; there is "
                        + String.join(", ", known.stream().filter(k -> !k.isEmpty()).toList()))
        .orElse("");
  }

  /** What a file may hold, for those who write one. */
  public String help() {
    StringBuilder out = new StringBuilder();
    parts
        .values()
        .forEach(
            part -> {
              out.append(
                  part.kind.isEmpty()
                      ? ""
                      : "\n[" + part.kind + (part.labelled ? " NAME" : "") + "]\n");
              part.known
                  .values()
                  .forEach(
                      k ->
                          out.append(
                              String.format(
                                  "%-16s %-10s %s%n",
                                  k.name(),
                                  k.kind().name().toLowerCase(java.util.Locale.ROOT),
                                  k.help()
                                      + (k.standard() == null
                                          ? k.required() ? " (must be there)" : ""
                                          : " (" + k.standard() + ")"))));
            });
    return out.toString();
  }
}
