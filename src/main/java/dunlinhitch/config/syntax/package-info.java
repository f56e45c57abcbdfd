/**
 * Syntax of the product's line-based settings file: lexer, sections, schema and typed values.
 *
 * <p>Entry points: a {@link dunlinhitch.config.syntax.Schema} declares sections and directives and
 * reads a file into {@link dunlinhitch.config.syntax.SectionValues}; every error is a {@link
 * dunlinhitch.config.syntax.SyntaxException} that names the file and, for errors within it, line
 * and column.
 *
 * <p>The package contains no setting of the product and imports no other package of the project.
 * Its classes are loaded only if a settings file exists. Not thread-safe.
 */
package dunlinhitch.config.syntax;
