package dunlinhitch.config;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

/**
 * Checks that a reloaded file has every key of the current one, because the default of a missing
 * key could silently loosen a limit.
 */
final class RequiredKeys {
  /**
   * Top-level keys that may be absent: the last endpoint list, and the addresses of other brokers,
   * whose format may also change.
   */
  private static final Set<String> OPTIONAL_KEYS = Set.of("known", GossipAddressesReader.PEERS);

  private final Path file;

  private RequiredKeys(Path file) {
    this.file = file;
  }

  /**
   * Compares two versions of a file.
   *
   * @throws Config.ConfigException if a key is missing in {@code reloaded}; it names the first one
   */
  static void check(Path file, JsonObject current, JsonObject reloaded) {
    new RequiredKeys(file).checkObject(current, reloaded, "");
  }

  /** Compares two objects; {@code path} is the prefix of their keys, empty or ending in a dot. */
  private void checkObject(JsonObject current, JsonObject reloaded, String path) {
    for (String key : current.names()) {
      JsonValue currentValue = current.get(key);
      if ((path.isEmpty() && OPTIONAL_KEYS.contains(key)) || currentValue.isNull()) {
        continue;
      }
      JsonValue reloadedValue = reloaded.get(key);
      if (reloadedValue == null || reloadedValue.isNull()) {
        throw missing(path + key);
      }
      if (currentValue.isObject() && reloadedValue.isObject()) {
        checkObject(currentValue.asObject(), reloadedValue.asObject(), path + key + ".");
      } else if (currentValue.isArray() && reloadedValue.isArray()) {
        checkElements(currentValue.asArray(), reloadedValue.asArray(), path + key);
      }
    }
  }

  /**
   * Elements may be added and removed, but each element of the reloaded array must have the keys
   * that are present in all elements of the current array.
   */
  private void checkElements(JsonArray current, JsonArray reloaded, String path) {
    Set<String> commonKeys = commonKeys(current);
    for (JsonValue element : reloaded) {
      for (String key : commonKeys) {
        JsonValue value = element.isObject() ? element.asObject().get(key) : null;
        if (value == null || value.isNull()) {
          throw missing(path + "[]." + key);
        }
      }
    }
  }

  private static Set<String> commonKeys(JsonArray array) {
    Set<String> common = null;
    for (JsonValue element : array) {
      Set<String> keys = element.isObject() ? new HashSet<>(element.asObject().names()) : Set.of();
      if (common == null) {
        common = new HashSet<>(keys);
      } else {
        common.retainAll(keys);
      }
    }
    return common == null ? Set.of() : common;
  }

  private Config.ConfigException missing(String path) {
    return new Config.ConfigException(
        file
            + ": "
            + path
            + " is missing; a reload must keep every key of the current configuration");
  }
}
