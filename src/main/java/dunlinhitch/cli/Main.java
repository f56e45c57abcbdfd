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

  /** The command's name in earlier versions, which help does not list. */
  private static final String EXPERIMENTS_FORMER_NAME = "lab";

  private Main() {}

  /** Runs the command that the arguments name; {@code serve} goes on after this returns. */
  public static void main(String[] arguments) {
    boolean serves = arguments.length > 0 && arguments[0].equals(ServeCommand.NAME);
    if (serves && !ServeCommand.installHangupHandler()) {
      System.out.println(
          "SIGHUP is ignored, as by nohup: the configuration will not be read again on it; start this by "
              + "'env --default-signal=HUP'");
    }
    int code =
        serves && arguments.length == 1 ? serve() : commandLine(arguments).execute(arguments);
    if (code != 0 || !serves) {
      System.out.flush();
      System.exit(code);
    }
  }

  /**
   * Serves with the default options, which is how the platform starts a broker, and loads no class
   * of picocli: to load them took a fifth of the processor time of a start, during which clients
   * have no broker.
   */
  private static int serve() {
    try {
      return ServeCommand.withDefaults().call();
    } catch (InterruptedException | RuntimeException failure) {
      return report(failure); // as commandLine() does for every other command
    }
  }

  /**
   * Returns the command line. Whatever is wrong with it or with a configuration is reported in one
   * line on standard error, with exit code 2.
   */
  static CommandLine commandLine() {
    CommandLine line = new CommandLine(new Main());
    CommandLine formerWarmUp = new CommandLine(new WarmUpCommand());
    formerWarmUp.setCommandName(WarmUpCommand.FORMER_NAME);
    formerWarmUp.getCommandSpec().usageMessage().hidden(true);
    line.addSubcommand(WarmUpCommand.FORMER_NAME, formerWarmUp);
    return FailureHandlers.install(line);
  }

  /** Adds the experiments where they are asked for: nothing else may load a class of them. */
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
