package dunlinhitch.config.syntax;

import java.util.List;

/**
 * The directives under one header {@code [kind label]}, not yet validated against a schema.
 *
 * @param kind first word of the header; empty for the directives before the first header
 * @param label rest of the header after the kind, or empty
 * @param header the header line, or null for the directives before the first header
 * @param directives the directives in order; the reader appends to this list
 */
record Section(String kind, String label, Directive header, List<Directive> directives) {}
