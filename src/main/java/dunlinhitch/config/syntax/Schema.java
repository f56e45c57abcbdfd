package dunlinhitch.config.syntax;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Declares the sections and directives of a settings file, and reads and validates files. Errors
 * about unknown names suggest the closest declared name.
 */
public final class Schema {
  private final Map<String, SectionSchema> sections = new LinkedHashMap<>();

  /**
   * Declares a kind of section.
   *
   * @param kind the first word of its header; empty for directives before any header
   * @param labelled whether its header has a name after the kind, which allows several such
   *     sections
   * @return the section, to declare its directives
   */
  public SectionSchema section(String kind, boolean labelled) {
    return sections.computeIfAbsent(kind, key -> new SectionSchema(key, labelled));
  }

  /**
   * Reads and validates a complete file.
   *
   * @return its sections in order; the first one holds the directives before any header
   * @throws SyntaxException if the file is invalid; it describes the first error
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
              "unknown section: ["
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
      throw header.error("this section requires a name: [" + section.kind() + " NAME]");
    }
    if (!schema.isLabelled() && !section.label().isEmpty()) {
      throw header.error("this section does not take a name: [" + section.kind() + "]");
    }
    for (SectionValues other : earlier) {
      if (other.kind().equals(section.kind()) && other.label().equals(section.label())) {
        throw header.error(
            "this section is already defined on line " + other.section().header().line());
      }
    }
  }

  /** Returns a reference of all sections and directives for authors of settings files. */
  public String help() {
    StringBuilder out = new StringBuilder();
    for (SectionSchema section : sections.values()) {
      out.append(section.help());
    }
    return out.toString();
  }
}
