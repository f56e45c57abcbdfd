package dunlinhitch.config.syntax;

import java.util.List;

/**
 * Directives under one head {@code [kind label]}; those before the first head stand in a section
 * without a kind.
 *
 * @param head the line of the head, or null for the first section
 */
public record Section(String kind, String label, Directive head, List<Directive> directives) {}
