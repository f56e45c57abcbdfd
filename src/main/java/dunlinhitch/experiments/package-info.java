/**
 * Experiments and measurements: the command {@code experiments} and what it runs. {@code serve}
 * never loads a class of this package or of those below it.
 */
package dunlinhitch.experiments;
