package dunlinhitch.config.syntax;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Declares the directives of one kind of section and validates sections against them. */
public final class SectionSchema {
  private final String kind;
  private final boolean labelled;
  private final Map<String, DirectiveSchema> directives = new LinkedHashMap<>();

  SectionSchema(String kind, boolean labelled) {
    this.kind = kind;
    this.labelled = labelled;
  }

  /** Declares a directive that must be present. */
  public SectionSchema required(String name, ValueKind valueKind, String help) {
    return add(new DirectiveSchema(name, valueKind, true, false, null, help));
  }

  /** Declares a directive that may be absent; {@code defaultValue} may be null. */
  public SectionSchema optional(
      String name, ValueKind valueKind, String defaultValue, String help) {
    return add(new DirectiveSchema(name, valueKind, false, false, defaultValue, help));
  }

  /** Declares a repeatable directive; if required, it must be present at least once. */
  public SectionSchema repeatable(String name, ValueKind valueKind, boolean required, String help) {
    return add(new DirectiveSchema(name, valueKind, required, true, null, help));
  }

  private SectionSchema add(DirectiveSchema directive) {
    directives.put(directive.name(), directive);
    return this;
  }

  boolean isLabelled() {
    return labelled;
  }

  /** Returns the default of a declared directive, or null if it has none. */
  String defaultOf(String name) {
    return directives.get(name).defaultValue();
  }

  /** Validates all directives of a section. An error that refers to no line names {@code file}. */
  SectionValues check(Path file, Section section) {
    Map<String, List<Directive>> directivesByName = new LinkedHashMap<>();
    for (Directive directive : section.directives()) {
      DirectiveSchema declared = declarationOf(directive);
      checkArgument(directive, declared);
      String name = declared.name();
      List<Directive> sameName = directivesByName.computeIfAbsent(name, key -> new ArrayList<>());
      if (!declared.repeatable() && !sameName.isEmpty()) {
        throw directive.error(name + " is already set on line " + sameName.get(0).line());
      }
      sameName.add(directive);
      ValueParser.check(directive, declared.kind());
    }
    for (DirectiveSchema declared : directives.values()) {
      if (declared.required() && !directivesByName.containsKey(declared.name())) {
        throw missing(file, section, declared);
      }
    }
    return new SectionValues(section, this, directivesByName);
  }

  private DirectiveSchema declarationOf(Directive directive) {
    String name = directive.name().text();
    DirectiveSchema declared = directives.get(name);
    if (declared == null) {
      throw directive.error(
          "unknown directive"
              + (kind.isEmpty() ? "" : " in [" + kind + "]")
              + ": "
              + name
              + NameSuggestion.forUnknown(name, directives.keySet()));
    }
    return declared;
  }

  private static void checkArgument(Directive directive, DirectiveSchema declared) {
    if (directive.arguments().size() != 1) {
      throw directive.error(
          declared.name()
              + " requires one argument: "
              + declared.kind().description()
              + (directive.arguments().isEmpty() ? "" : "; found more than one"));
    }
  }

  private SyntaxException missing(Path file, Section section, DirectiveSchema declared) {
    String message =
        "[" + kind + "] requires " + declared.name() + ": " + declared.kind().description();
    return section.header() == null
        ? new SyntaxException(file, message)
        : section.header().error(message);
  }

  /** Lists the directives with their kinds, descriptions and defaults, one per line. */
  String help() {
    StringBuilder out = new StringBuilder();
    if (!kind.isEmpty()) {
      out.append("\n[").append(kind).append(labelled ? " NAME" : "").append("]\n");
    }
    for (DirectiveSchema directive : directives.values()) {
      out.append(
          String.format(
              "%-16s %-10s %s%n",
              directive.name(),
              directive.kind().name().toLowerCase(Locale.ROOT),
              directive.help() + presence(directive)));
    }
    return out.toString();
  }

  private static String presence(DirectiveSchema directive) {
    if (directive.defaultValue() != null) {
      return " (default: " + directive.defaultValue() + ")";
    }
    return directive.required() ? " (required)" : "";
  }
}
