package dunlinhitch.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Config.ConfigException;
import dunlinhitch.text.BoundedJson;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;

/** Reads the platform's JSON file into a {@link Config}. */
final class ConfigReader {
  /** Environment variable that overrides the address of the discovery service. */
  static final String DISCOVERY_VARIABLE = "ROUTER_DISCOVERY";

  private static final String NAME_VARIABLE = "ROUTER_NAME";
  private static final String LISTEN_VARIABLE = "ROUTER_LISTEN";
  private static final String ADMIN_VARIABLE = "ROUTER_ADMIN_ADDR";

  /** Environment variable with the directory that the processes of a broker share. */
  private static final String SCRATCH_VARIABLE = "TMPDIR";

  /** Minimum number of file descriptors that a broker needs. */
  private static final int MIN_SOCKETS = 64;

  /** Minimum memory limit of a broker in MB; deploy/serve.sh plans with the same. */
  private static final int MIN_MEMORY_MB = 112;

  private static final int SEED_RADIX = 16;

  private ConfigReader() {}

  /** Parses a file that contains one JSON object. */
  static JsonObject parse(Path file) {
    try {
      return BoundedJson.parse(Files.readString(file)).asObject();
    } catch (NoSuchFileException e) {
      throw new ConfigException("file not found: " + file);
    } catch (IOException | RuntimeException e) {
      // The JSON library throws various unchecked exceptions if the content is not an object.
      throw new ConfigException("cannot read " + file + ": " + e.getMessage());
    }
  }

  /**
   * Reads the content of a file.
   *
   * @param file the file, for its modification time and for error messages
   * @param root its content
   * @param product the product's own settings
   * @param environment environment variables, which override the file
   */
  static Config read(Path file, JsonObject root, Product product, Map<String, String> environment) {
    try {
      return read(root, product, environment, lastModifiedMs(file));
    } catch (ConfigException e) {
      throw new ConfigException(file + ": " + e.getMessage());
    } catch (RuntimeException e) {
      // The JSON library throws various unchecked exceptions if a value has an unexpected type.
      throw new ConfigException(file + ": invalid value: " + e.getMessage());
    }
  }

  private static Config read(
      JsonObject root, Product product, Map<String, String> environment, long writtenMs) {
    JsonValue settings = root.get("settings");
    if (settings == null) {
      throw new ConfigException("the key 'settings' is missing");
    }
    checkMemoryLimit(root.get("limits"));
    JsonValue endpointList = root.get("known");
    String name = environment.getOrDefault(NAME_VARIABLE, root.getString("name", "broker"));
    GossipAddresses gossipAddresses = GossipAddressesReader.read(root);
    return new Config(
        name,
        Address.parse(
            "listen", environment.getOrDefault(LISTEN_VARIABLE, root.getString("listen", ""))),
        adminAddress(environment.getOrDefault(ADMIN_VARIABLE, root.getString("admin_addr", ""))),
        Address.parse(
            "discovery",
            environment.getOrDefault(DISCOVERY_VARIABLE, root.getString("discovery", ""))),
        Long.parseUnsignedLong(root.getString("seed", "0"), SEED_RADIX),
        isAbsent(endpointList) ? Json.object() : endpointList.asObject(),
        socketLimit(root.get("limits")),
        SettingsReader.read(settings.asObject()),
        ClusterAddressResolver.resolve(product, gossipAddresses, name),
        scratchFolder(environment.getOrDefault(SCRATCH_VARIABLE, "")),
        writtenMs,
        gossipAddresses);
  }

  private static boolean isAbsent(JsonValue value) {
    return value == null || value.isNull();
  }

  private static Address adminAddress(String text) {
    return text.isEmpty() ? null : Address.parse("admin_addr", text);
  }

  private static void checkMemoryLimit(JsonValue limits) {
    int memoryMb =
        isAbsent(limits) ? MIN_MEMORY_MB : limits.asObject().getInt("memory_mb", MIN_MEMORY_MB);
    if (memoryMb < MIN_MEMORY_MB) {
      throw new ConfigException(
          "CONFIG_MEMORY_TOO_SMALL: limits.memory_mb must be at least "
              + MIN_MEMORY_MB
              + ", not "
              + memoryMb
              + "; give the broker more memory");
    }
  }

  private static int socketLimit(JsonValue limits) {
    int sockets =
        isAbsent(limits)
            ? Config.DEFAULT_SOCKETS
            : limits.asObject().getInt("sockets", Config.DEFAULT_SOCKETS);
    if (sockets < MIN_SOCKETS) {
      throw new ConfigException(
          "limits.sockets must be at least " + MIN_SOCKETS + ", not " + sockets);
    }
    return sockets;
  }

  private static Path scratchFolder(String text) {
    return text.isEmpty() ? null : Path.of(text);
  }

  private static long lastModifiedMs(Path file) {
    try {
      return Math.max(0, Files.getLastModifiedTime(file).toMillis());
    } catch (IOException e) {
      // The file was removed after it was read. 0 marks the modification time as unknown.
      return 0;
    }
  }
}
