package dunlinhitch.config;

import com.eclipsesource.json.JsonObject;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * The platform's configuration file, read at the start and again on reload. A reload is all or
 * nothing: a file that can not be used leaves the current configuration in place.
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
   * Creates an object that has read nothing yet.
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
   * Reads both files, as at the start.
   *
   * @throws Config.ConfigException if a file can not be used
   */
  public Config read() {
    JsonObject root = ConfigReader.parse(file);
    current = ConfigReader.read(file, root, Product.read(productFile), environment);
    currentRoot = root;
    return current;
  }

  /**
   * Reads the platform's file again. Its address of the discovery service takes precedence over the
   * environment, which still has that of the start. The product's settings stay.
   *
   * @throws Config.ConfigException if the file can not be used, lacks a key of the current one, or
   *     changes what needs a restart
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
          file + ": other zones, or another layout of shards, want a restart");
    }
  }
}
