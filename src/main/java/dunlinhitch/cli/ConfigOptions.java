package dunlinhitch.cli;

import dunlinhitch.config.Config;
import dunlinhitch.config.ConfigFile;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** The options that select the configuration files of a broker. */
final class ConfigOptions {
  private static final String PRODUCT_FILE = "deploy/dunlinhitch.conf";
  private static final String CONFIG_VARIABLE = "ROUTER_CONFIG";

  @Option(
      names = "--config",
      defaultValue = "${env:" + CONFIG_VARIABLE + "}",
      description = "JSON configuration file")
  private Path file;

  @Option(
      names = "--conf",
      paramLabel = "<own>",
      description =
          "file with the product's own settings (default: " + PRODUCT_FILE + ", if it exists)")
  private Path productFile;

  /** Returns the values that picocli sets for a command line without options. */
  static ConfigOptions defaults() {
    ConfigOptions options = new ConfigOptions();
    String file = System.getenv(CONFIG_VARIABLE);
    options.file = file == null ? null : Path.of(file);
    return options;
  }

  /**
   * Returns the configuration file, which is not read yet.
   *
   * @throws Config.ConfigException if no file is specified, or if the product's file is specified
   *     and does not exist
   */
  ConfigFile configFile() {
    if (file == null) {
      throw new Config.ConfigException("no configuration file: set --config or ROUTER_CONFIG");
    }
    if (productFile == null) {
      return new ConfigFile(file, Path.of(PRODUCT_FILE), System.getenv());
    }
    if (!Files.exists(productFile)) {
      throw new Config.ConfigException("file not found: " + productFile);
    }
    return new ConfigFile(file, productFile, System.getenv());
  }
}
