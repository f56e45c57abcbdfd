package dunlinhitch.config.syntax;

/**
 * One token of a line.
 *
 * @param text the token without quotes and escapes
 * @param column the column in which it begins, from 1
 */
public record Token(String text, int column) {}
