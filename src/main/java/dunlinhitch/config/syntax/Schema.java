package dunlinhitch.config.syntax;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Declares the sections and directives of a settings file and reads files against the declaration.
 * Unknown names are rejected with the nearest declared one.
 */
public final class Schema {
  private final Map<String, SectionSchema> sections = new LinkedHashMap<>();

  /**
   * Declares a kind of section.
   *
   * @param kind the first word of its header; empty for directives before any header
   * @param labelled whether its header has a name behind the kind, by which there may be several
   * @return the section, to declare its directives
   */
  public SectionSchema section(String kind, boolean labelled) {
    return sections.computeIfAbsent(kind, key -> new SectionSchema(key, labelled));
  }

  /**
   * Reads and checks a complete file.
   *
   * @return its sections in order; the first one has no header
   * @throws SyntaxException about the first error in the file
   */
  public List<SectionValues> read(Path file) {
    List<SectionValues> checked = new ArrayList<>();
    for (Section section : SyntaxReader.read(file)) {
      SectionSchema schema = schemaOf(section);
      if (section.header() != null) {
        checkHeader(section, schema, checked);
      }
      checked.add(schema.check(file, section));
    }
    return checked;
  }

  private SectionSchema schemaOf(Section section) {
    String kind = section.kind();
    SectionSchema schema = sections.get(kind);
    if (schema == null) {
      throw section
          .header()
          .error(
              "no such section: ["
                  + kind
                  + "]"
                  + NameSuggestion.forUnknown(kind, sections.keySet()));
    }
    return schema;
  }

  private static void checkHeader(
      Section section, SectionSchema schema, List<SectionValues> earlier) {
    Directive header = section.header();
    if (schema.isLabelled() && section.label().isEmpty()) {
      throw header.error("this section wants a name: [" + section.kind() + " NAME]");
    }
    if (!schema.isLabelled() && !section.label().isEmpty()) {
      throw header.error("this section has no name: [" + section.kind() + "]");
    }
    for (SectionValues other : earlier) {
      if (other.kind().equals(section.kind()) && other.label().equals(section.label())) {
        throw header.error("this section stood before, on line " + other.section().header().line());
      }
    }
  }

  /** Returns what a file may contain, for those who write one. */
  public String help() {
    StringBuilder out = new StringBuilder();
    for (SectionSchema section : sections.values()) {
      out.append(section.help());
    }
    return out.toString();
  }
}
