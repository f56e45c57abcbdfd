/**
 * The command line. {@link dunlinhitch.cli.Main} is the entry point, and each command has a class
 * of its own. Commands parse options, print results and set the exit code; other packages implement
 * the functions that they run.
 *
 * <p>{@code serve} without options must not load any class of picocli, and only the experiments
 * command may load classes of the experiments.
 */
package dunlinhitch.cli;
