package dunlinhitch.config;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The file that a broker was started with, and reads again when it is asked to. What it takes then
 * is whole: beside all that a start demands it has every key of the file that is held, for the
 * default in the place of a lost one could loosen a rule unseen. Used by one thread at a time.
 */
public final class ConfigFile {
  /**
   * The list of stores as it was, and the other brokers: they need not be there, and their entries
   * may be worded anew.
   */
  private static final Set<String> MAY_GO = Set.of("known", GossipAddresses.PEERS);

  private final Path file;
  private final Path ownFile;
  private final Map<String, String> env;
  private JsonObject held = new JsonObject();
  private Config config;

  /** {@code env} holds the ROUTER_ variables. */
  public ConfigFile(Path file, Path ownFile, Map<String, String> env) {
    this.file = file;
    this.ownFile = ownFile;
    this.env = Map.copyOf(env);
  }

  /** As a start reads it. */
  public Config read() {
    JsonObject root = Config.json(file);
    config = Config.read(file, root, Product.read(ownFile), env);
    held = root;
    return config;
  }

  /**
   * As it is now, where it was replaced since; throws, and holds what it held, where it can not be
   * used. Discovery's address in it goes before the environment, which still says what it did at
   * the start.
   */
  public Config again() {
    JsonObject root = Config.json(file);
    requireKeysOf(held, root, "");
    Map<String, String> rest = new HashMap<>(env);
    rest.remove(Config.DISCOVERY);
    Config now = Config.read(file, root, config.product(), rest);
    if (!now.settings().zones().equals(config.settings().zones())
        || !now.settings().layout().equals(config.settings().layout())) {
      throw new Config.ConfigException(
          file + ": other zones, or another layout of shards, want a restart");
    }
    held = root;
    config = now;
    return now;
  }

  private void requireKeysOf(JsonObject before, JsonObject now, String at) {
    for (String key : before.names()) {
      JsonValue was = before.get(key);
      JsonValue is = now.get(key);
      if ((at.isEmpty() && MAY_GO.contains(key)) || was.isNull()) {
        continue;
      }
      if (is == null || is.isNull()) {
        throw new Config.ConfigException(file + ": " + at + key + " is missing");
      }
      if (was.isObject() && is.isObject()) {
        requireKeysOf(was.asObject(), is.asObject(), at + key + ".");
      } else if (was.isArray() && is.isArray()) {
        requireKeysOfAll(was.asArray(), is.asArray(), at + key);
      }
    }
  }

  /** Entries may come and go, but each has the keys that all of them had. */
  private void requireKeysOfAll(JsonArray before, JsonArray now, String at) {
    Set<String> common = null;
    for (JsonValue was : before) {
      Set<String> names = was.isObject() ? new HashSet<>(was.asObject().names()) : Set.of();
      if (common == null) {
        common = new HashSet<>(names);
      }
      common.retainAll(names);
    }
    for (JsonValue is : now) {
      for (String key : common == null ? Set.<String>of() : common) {
        JsonValue value = is.isObject() ? is.asObject().get(key) : null;
        if (value == null || value.isNull()) {
          throw new Config.ConfigException(file + ": " + at + "[]." + key + " is missing");
        }
      }
    }
  }
}
