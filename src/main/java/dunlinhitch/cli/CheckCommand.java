package dunlinhitch.cli;

import dunlinhitch.config.Config;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** Validates a configuration and prints a summary of it. */
@Command(
    name = "check",
    description = "Validates a configuration and the product's own settings, and prints a summary.",
    mixinStandardHelpOptions = true)
final class CheckCommand implements Callable<Integer> {
  @Mixin private ConfigOptions options;

  @Override
  public Integer call() {
    Config config = options.configFile().read();
    System.out.println(
        config.name()
            + ": "
            + config.settings().classes().size()
            + " classes, "
            + config.settings().layout().shards()
            + " shards, listens on "
            + config.listen().host()
            + ":"
            + config.listen().port());
    System.out.print(config.product().description());
    return 0;
  }
}
