package dunlinhitch.cli;

import dunlinhitch.server.BuildVersion;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the program: selects the command and sets the exit code. */
@Command(
    name = "dunlinhitch",
    description = "A broker for sharded, replicated calendar stores.",
    mixinStandardHelpOptions = true,
    version = BuildVersion.TEXT,
    subcommands = {
      ServeCommand.class,
      SimulateCommand.class,
      CheckCommand.class,
      WarmUpCommand.class,
      RecordsCommand.class,
      VersionCommand.class
    })
public final class Main {
  private static final int FAILURE = 2;

  private static final String EXPERIMENTS_CLASS = "dunlinhitch.experiments.ExperimentsCommand";
  private static final String EXPERIMENTS_NAME = "experiments";

  /** Name of the command in earlier versions; still accepted, but not listed by help. */
  private static final String EXPERIMENTS_FORMER_NAME = "lab";

  private Main() {}

  /** Runs the selected command; {@code serve} continues after this method returns. */
  public static void main(String[] arguments) {
    boolean serves = arguments.length > 0 && arguments[0].equals(ServeCommand.NAME);
    if (serves && !ServeCommand.installHangupHandler()) {
      System.out.println(
          "SIGHUP is ignored because it was already ignored at process start, as under nohup; "
              + "configuration reload is disabled. Start the process with "
              + "'env --default-signal=HUP' to enable it.");
    }
    int code =
        serves && arguments.length == 1 ? serve() : commandLine(arguments).execute(arguments);
    if (code != 0 || !serves) {
      System.out.flush();
      System.exit(code);
    }
  }

  /**
   * Runs {@code serve} with the default options, without loading any class of picocli. The platform
   * starts brokers in this way. Loading the classes of picocli takes a fifth of the CPU time of a
   * start, and clients have no broker until the start has completed.
   */
  private static int serve() {
    try {
      return ServeCommand.withDefaults().call();
    } catch (InterruptedException | RuntimeException failure) {
      // The failures of all other commands are reported by the handlers that commandLine() sets.
      return report(failure);
    }
  }

  /**
   * Returns the command line. Errors in the arguments or in a configuration are reported as one
   * line on standard error, with exit code 2.
   */
  static CommandLine commandLine() {
    CommandLine line = new CommandLine(new Main());
    line.setExpandAtFiles(false); // deploy/serve.sh reads the options that name files, too
    CommandLine formerWarmUp = new CommandLine(new WarmUpCommand());
    formerWarmUp.setCommandName(WarmUpCommand.FORMER_NAME);
    formerWarmUp.getCommandSpec().usageMessage().hidden(true);
    line.addSubcommand(WarmUpCommand.FORMER_NAME, formerWarmUp);
    return FailureHandlers.install(line);
  }

  /**
   * Adds the experiments command only if it is selected, as no other command may load its classes.
   */
  private static CommandLine commandLine(String[] arguments) {
    CommandLine line = commandLine();
    if (arguments.length > 0 && namesExperiments(arguments[0])) {
      line.addSubcommand(arguments[0], FailureHandlers.install(new CommandLine(experiments())));
    }
    return line;
  }

  private static boolean namesExperiments(String command) {
    return command.equals(EXPERIMENTS_NAME) || command.equals(EXPERIMENTS_FORMER_NAME);
  }

  private static Object experiments() {
    try {
      return Class.forName(EXPERIMENTS_CLASS).getDeclaredConstructor().newInstance();
    } catch (ReflectiveOperationException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /** Writes the first line of the failure to standard error and returns the exit code. */
  static int report(Exception failure) {
    System.err.println(
        "dunlinhitch: " + String.valueOf(failure.getMessage()).lines().findFirst().orElse(""));
    return FAILURE;
  }
}
