package dunlinhitch.cli;

import picocli.CommandLine;

/**
 * Handlers of failed commands. They are separate from {@link Main} because their bytecode
 * verification loads exception classes of picocli, which {@code serve} without options must not
 * load.
 */
final class FailureHandlers {
  private FailureHandlers() {}

  /** Makes {@code line} report all failures through {@link Main#report}, and returns it. */
  static CommandLine install(CommandLine line) {
    return line.setParameterExceptionHandler((failure, arguments) -> Main.report(failure))
        .setExecutionExceptionHandler((failure, command, parsed) -> Main.report(failure));
  }
}
