package dunlinhitch.config;

import com.eclipsesource.json.JsonObject;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The platform's configuration file, read at startup and on reload. A reload is atomic: an invalid
 * file leaves the current configuration in place.
 *
 * <p>Not thread-safe: at most one thread may use it at a time.
 */
public final class ConfigFile {
  private final Path file;
  private final Path productFile;
  private final Map<String, String> environment;
  private JsonObject currentRoot = new JsonObject();
  private Config current;

  /**
   * Creates an accessor; the files are not read yet.
   *
   * @param file the platform's JSON file
   * @param productFile the product's own settings file, which need not exist
   * @param environment environment variables
   */
  public ConfigFile(Path file, Path productFile, Map<String, String> environment) {
    this.file = file;
    this.productFile = productFile;
    this.environment = Map.copyOf(environment);
  }

  /**
   * Reads both files at startup.
   *
   * @throws Config.ConfigException if a file is invalid
   */
  public Config read() {
    JsonObject root = ConfigReader.parse(file);
    current = ConfigReader.read(file, root, Product.read(productFile), environment);
    currentRoot = root;
    return current;
  }

  /**
   * Reads the platform's file again. The discovery address in the file takes precedence over the
   * environment variable, which still contains the address from process startup. The product's
   * settings are not reloaded.
   *
   * @throws Config.ConfigException if the file is invalid, lacks a key that the current
   *     configuration has, or changes a setting that requires a restart
   */
  public Config reload() {
    JsonObject root = ConfigReader.parse(file);
    RequiredKeys.check(file, currentRoot, root);
    Map<String, String> overrides = new HashMap<>(environment);
    overrides.remove(ConfigReader.DISCOVERY_VARIABLE);
    Config reloaded = ConfigReader.read(file, root, current.product(), overrides);
    requireSameTopology(reloaded);
    currentRoot = root;
    current = reloaded;
    return reloaded;
  }

  private void requireSameTopology(Config reloaded) {
    if (!reloaded.settings().zones().equals(current.settings().zones())
        || !reloaded.settings().layout().equals(current.settings().layout())) {
      throw new Config.ConfigException(
          file + ": a change of the zones or of the shard layout requires a restart");
    }
  }
}
