package dunlinhitch.config.syntax;

/**
 * Declaration of one directive.
 *
 * @param name its name
 * @param kind kind of its value
 * @param required whether its section must contain it
 * @param repeatable whether its section may contain it more than once
 * @param defaultValue the value if the directive is absent, or null
 * @param help its description for authors of settings files
 */
record DirectiveSchema(
    String name,
    ValueKind kind,
    boolean required,
    boolean repeatable,
    String defaultValue,
    String help) {}
