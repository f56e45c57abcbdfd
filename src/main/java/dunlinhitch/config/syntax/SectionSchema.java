package dunlinhitch.config.syntax;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Declares the directives of one kind of section, and checks sections against them. */
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

  /** Declares a directive that may be absent; {@code defaultValue} null: it has no value then. */
  public SectionSchema optional(
      String name, ValueKind valueKind, String defaultValue, String help) {
    return add(new DirectiveSchema(name, valueKind, false, false, defaultValue, help));
  }

  /** Declares a directive that may be repeated; if required it must be present at least once. */
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

  /** Checks all directives of a section; {@code file} is named where no directive is at fault. */
  SectionValues check(Path file, Section section) {
    Map<String, List<Directive>> directivesByName = new LinkedHashMap<>();
    for (Directive directive : section.directives()) {
      DirectiveSchema declared = declarationOf(directive);
      checkArgument(directive, declared);
      String name = declared.name();
      List<Directive> sameName = directivesByName.computeIfAbsent(name, key -> new ArrayList<>());
      if (!declared.repeatable() && !sameName.isEmpty()) {
        throw directive.error(name + " stood before, on line " + sameName.get(0).line());
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
          "no such directive"
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
              + " wants "
              + declared.kind().description()
              + (directive.arguments().isEmpty() ? "" : ", and nothing behind it"));
    }
  }

  private SyntaxException missing(Path file, Section section, DirectiveSchema declared) {
    String message =
        "[" + kind + "] wants " + declared.name() + ": " + declared.kind().description();
    return section.header() == null
        ? new SyntaxException(file, message)
        : section.header().error(message);
  }

  /** Lists the directives with their kinds, meanings and defaults, one a line. */
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
      return " (" + directive.defaultValue() + ")";
    }
    return directive.required() ? " (must be there)" : "";
  }
}
