package dunlinhitch.cli;

import picocli.CommandLine;

/**
 * Handlers of failed commands. They are not in {@link Main} because to verify them loads exception
 * classes of picocli, which {@code serve} without options must not load.
 */
final class FailureHandlers {
  private FailureHandlers() {}

  /** Reports whatever fails in that command line by {@link Main#report}; returns it. */
  static CommandLine install(CommandLine line) {
    return line.setParameterExceptionHandler((failure, arguments) -> Main.report(failure))
        .setExecutionExceptionHandler((failure, command, parsed) -> Main.report(failure));
  }
}
