package dunlinhitch.config.syntax;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A section that conforms to its schema. Values are read by directive name and have the kind that
 * the schema declares. Reading a value as a different kind is a programming error.
 */
public final class SectionValues {
  private final Section section;
  private final SectionSchema schema;
  private final Map<String, List<Directive>> directivesByName;

  SectionValues(
      Section section, SectionSchema schema, Map<String, List<Directive>> directivesByName) {
    this.section = section;
    this.schema = schema;
    this.directivesByName = directivesByName;
  }

  /** Returns the kind of the section, empty for the directives before any header. */
  public String kind() {
    return section.kind();
  }

  /** Returns the name in the section's header, or an empty string. */
  public String label() {
    return section.label();
  }

  Section section() {
    return section;
  }

  /** Returns whether the section contains the directive. */
  public boolean has(String name) {
    return directivesByName.containsKey(name);
  }

  /**
   * Returns the value as text. If the directive is absent, returns the default, or null if no
   * default is declared.
   */
  public String text(String name) {
    List<Directive> directives = directivesByName.get(name);
    return directives == null ? schema.defaultOf(name) : valueOf(directives.get(0));
  }

  /** Returns all values of a repeatable directive in order; empty if it is absent. */
  public List<String> all(String name) {
    return directivesByName.getOrDefault(name, List.of()).stream()
        .map(SectionValues::valueOf)
        .toList();
  }

  private static String valueOf(Directive directive) {
    return directive.arguments().get(0).text();
  }

  /** Returns whether a switch is on. */
  public boolean isOn(String name) {
    return "on".equals(text(name));
  }

  /** Returns an integer. */
  public long count(String name) {
    return Long.parseLong(text(name));
  }

  /** Returns a duration in microseconds. */
  public long durationUs(String name) {
    return ValueParser.durationUs(text(name));
  }

  /** Returns a percentage as a share from 0 to 1. */
  public double share(String name) {
    return ValueParser.share(text(name));
  }

  /** Returns a path, resolved against the file that contains it, or null if it is absent. */
  public Path path(String name) {
    List<Directive> directives = directivesByName.get(name);
    return directives == null ? null : directives.get(0).file().resolveSibling(text(name));
  }

  /** Returns an error with the position of the value of a directive, which must be present. */
  public SyntaxException error(String name, String message) {
    Directive directive = directivesByName.get(name).get(0);
    return directive.error(directive.arguments().get(0), name + " " + message);
  }
}
