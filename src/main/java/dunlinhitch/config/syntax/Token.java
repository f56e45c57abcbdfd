package dunlinhitch.config.syntax;

/**
 * One token of a line.
 *
 * @param text the token without quotes and escapes
 * @param column column of its first character, from 1
 */
public record Token(String text, int column) {}
