package dunlinhitch.cli;

import dunlinhitch.config.Config;
import dunlinhitch.config.ConfigFile;
import dunlinhitch.frontend.http.ClientListener;
import dunlinhitch.server.HangupSignals;
import java.io.IOException;
import java.time.ZoneId;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Runs a broker. {@code Main} also runs this command without parsing a command line, in which case
 * no class of picocli may be loaded.
 */
@Command(
    name = ServeCommand.NAME,
    description = "Runs one broker on real sockets until it receives SIGTERM or SIGINT.",
    mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {
  static final String NAME = "serve";

  /** Environment variable with the file descriptor of the platform's listening socket. */
  private static final String LISTENER_VARIABLE = "ROUTER_ACCEPT_FD";

  /** Installed by {@link #installHangupHandler} before any other work. */
  private static final HangupSignals HANGUP_SIGNALS = new HangupSignals();

  @Mixin private ConfigOptions options;

  /** Returns a command with the default options. */
  static ServeCommand withDefaults() {
    ServeCommand command = new ServeCommand();
    command.options = ConfigOptions.defaults();
    return command;
  }

  /** Installs the SIGHUP handler; returns false if the process was started with SIGHUP ignored. */
  static boolean installHangupHandler() {
    return HANGUP_SIGNALS.install();
  }

  @Override
  public Integer call() throws InterruptedException {
    ConfigFile file = options.configFile();
    Config config = file.read();
    loadTimeZoneRules();
    new BrokerProcess(file, config, listener(), HANGUP_SIGNALS).start();
    return 0;
  }

  /**
   * Preloads the time zone rules that the log uses, because the process may have no free file
   * descriptor to read them later.
   */
  @SuppressWarnings("ReturnValueIgnored") // called for its side effect
  private static void loadTimeZoneRules() {
    ZoneId.systemDefault().getRules();
  }

  /**
   * Returns the listener for clients. It uses the platform's listening socket if the platform
   * passes one.
   */
  private static ClientListener listener() {
    String descriptor = System.getenv(LISTENER_VARIABLE);
    if (descriptor == null || descriptor.isEmpty()) {
      return new ClientListener(null);
    }
    if (!descriptor.equals("0")) {
      throw new Config.ConfigException("ROUTER_ACCEPT_FD must be 0 or empty, not " + descriptor);
    }
    try {
      return ClientListener.inherited();
    } catch (IOException exception) {
      throw new Config.ConfigException("ROUTER_ACCEPT_FD: " + exception.getMessage());
    }
  }
}
