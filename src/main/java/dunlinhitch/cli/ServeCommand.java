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
 * Runs a broker. {@code Main} also runs it without a command line, and then no class of picocli may
 * be loaded.
 */
@Command(
    name = ServeCommand.NAME,
    description = "Runs one broker on real sockets until it is asked to end.",
    mixinStandardHelpOptions = true)
final class ServeCommand implements Callable<Integer> {
  static final String NAME = "serve";

  /** Names the descriptor on which the platform passes the clients' listening socket. */
  private static final String LISTENER_VARIABLE = "ROUTER_ACCEPT_FD";

  /** Installed by {@link #installHangupHandler} before anything else. */
  private static final HangupSignals HANGUP_SIGNALS = new HangupSignals();

  @Mixin private ConfigOptions options;

  /** Returns a command with the options of a command line without any. */
  static ServeCommand withDefaults() {
    ServeCommand command = new ServeCommand();
    command.options = ConfigOptions.defaults();
    return command;
  }

  /** Installs the handler of SIGHUP; returns false where the process was started to ignore it. */
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

  /** The log needs the rules, and cannot load them once no descriptor is left. */
  @SuppressWarnings("ReturnValueIgnored") // called to load them
  private static void loadTimeZoneRules() {
    ZoneId.systemDefault().getRules();
  }

  /** Returns the clients' listener, with the platform's socket where it passes one. */
  private static ClientListener listener() {
    String descriptor = System.getenv(LISTENER_VARIABLE);
    if (descriptor == null || descriptor.isEmpty()) {
      return new ClientListener(null);
    }
    if (!descriptor.equals("0")) {
      throw new Config.ConfigException("ROUTER_ACCEPT_FD is not 0: " + descriptor);
    }
    try {
      return ClientListener.inherited();
    } catch (IOException exception) {
      throw new Config.ConfigException("ROUTER_ACCEPT_FD: " + exception.getMessage());
    }
  }
}
