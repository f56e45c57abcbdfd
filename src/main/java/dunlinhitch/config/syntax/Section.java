package dunlinhitch.config.syntax;

import java.util.List;

/**
 * The directives under one header {@code [kind label]}, before they are checked against a schema.
 *
 * @param kind first word of the header; empty for the directives before the first header
 * @param label second word of the header, or empty
 * @param header the line of the header, or null for the directives before the first one
 * @param directives the directives in order; the reader appends to this list
 */
record Section(String kind, String label, Directive header, List<Directive> directives) {}
