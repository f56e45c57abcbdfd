package dunlinhitch.cli;

import dunlinhitch.config.Config;
import dunlinhitch.config.ConfigFile;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The options that name the configuration of a broker. */
final class ConfigOptions {
  private static final String PRODUCT_FILE = "deploy/dunlinhitch.conf";
  private static final String CONFIG_VARIABLE = "ROUTER_CONFIG";

  @Option(
      names = "--config",
      defaultValue = "${env:" + CONFIG_VARIABLE + "}",
      description = "the configuration, as JSON")
  private Path file;

  @Option(
      names = "--conf",
      paramLabel = "<own>",
      defaultValue = PRODUCT_FILE,
      description = "the product's own settings (default: ${DEFAULT-VALUE}, if it is there)")
  private Path productFile;

  /** Returns the options of a command line without any, as picocli would set them. */
  static ConfigOptions defaults() {
    ConfigOptions options = new ConfigOptions();
    String file = System.getenv(CONFIG_VARIABLE);
    options.file = file == null ? null : Path.of(file);
    options.productFile = Path.of(PRODUCT_FILE);
    return options;
  }

  /**
   * Returns the configuration file, not yet read.
   *
   * @throws Config.ConfigException where no file is named
   */
  ConfigFile configFile() {
    if (file == null) {
      throw new Config.ConfigException("name a configuration with --config or ROUTER_CONFIG");
    }
    return new ConfigFile(file, productFile, System.getenv());
  }
}
