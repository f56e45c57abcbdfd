package dunlinhitch.config.syntax;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * A section that fits the schema; values are asked for by the name of their directive and are of
 * its kind.
 */
public final class Block {
  private final Section section;
  private final Schema.Part part;
  private final Map<String, List<Directive>> found;

  Block(Section section, Schema.Part part, Map<String, List<Directive>> found) {
    this.section = section;
    this.part = part;
    this.found = found;
  }

  public String kind() {
    return section.kind();
  }

  public String label() {
    return section.label();
  }

  Section section() {
    return section;
  }

  public boolean has(String name) {
    return found.containsKey(name);
  }

  /** The word as it stands, or the standard, or null. */
  public String text(String name) {
    List<Directive> all = found.get(name);
    return all != null
        ? all.get(0).words().get(0).text()
        : part.known().stream()
            .filter(k -> k.name().equals(name))
            .findFirst()
            .orElseThrow()
            .standard();
  }

  public List<String> all(String name) {
    return found.getOrDefault(name, List.of()).stream().map(d -> d.words().get(0).text()).toList();
  }

  public boolean on(String name) {
    return "on".equals(text(name));
  }

  public long count(String name) {
    return Long.parseLong(text(name));
  }

  /** In microseconds. */
  public long durationUs(String name) {
    return Values.durationUs(text(name));
  }

  /** From 0 to 1. */
  public double share(String name) {
    return Values.share(text(name));
  }

  /** In bytes. */
  public long size(String name) {
    return Values.size(text(name));
  }

  /** Relative to the file that names it. */
  public Path path(String name) {
    List<Directive> all = found.get(name);
    return all == null ? null : all.get(0).file().resolveSibling(text(name));
  }

  /** What is wrong with a value, at its place. */
  public SyntaxException wrong(String name, String message) {
    Directive directive = found.get(name).get(0);
    return directive.wrong(directive.words().get(0), name + " " + message);
  }
}
