/**
 * Experiments and measurements: the command {@code experiments} and its subcommands. {@code serve}
 * never loads a class of this package or of those below it.
 */
package dunlinhitch.experiments;
