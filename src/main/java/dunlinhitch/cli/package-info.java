/**
 * The command line: {@link dunlinhitch.cli.Main} is the entry point, and each command is a class of
 * its own. Commands parse options, print results and set the exit code; what they run is elsewhere.
 *
 * <p>{@code serve} without options must load no class of picocli, and no command may load a class
 * of the experiments unless it was asked for them.
 */
package dunlinhitch.cli;
