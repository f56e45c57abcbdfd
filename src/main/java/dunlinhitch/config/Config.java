package dunlinhitch.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.balancer.settings.Settings;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.Map;

/**
 * What a broker is told at its start: a JSON file, with name and addresses over-ridden by the
 * environment. {@code admin}, where operators call, may be null; {@code known} is the list of
 * stores as the broker last had it, empty if there was none; {@code product} is what its own
 * settings file switches on; {@code scratch} is a folder that the processes of this broker share,
 * or null; {@code writtenMs} is when the file was written, Unix time in milliseconds; {@code talk}
 * is what the platform says of words between brokers, or null.
 */
public record Config(
    String name,
    Address listen,
    Address admin,
    Address discovery,
    long seed,
    JsonObject known,
    int sockets,
    Settings settings,
    Product product,
    Path scratch,
    long writtenMs,
    GossipAddresses talk) {
  /** Where the file does not say how many descriptors the process may hold. */
  public static final int SOCKETS = 1024;

  private static final int LEAST_SOCKETS = 64;

  private static final String ADMIN = "ROUTER_ADMIN_ADDR";
  private static final String SCRATCH = "TMPDIR";
  static final String DISCOVERY = "ROUTER_DISCOVERY";

  /** Where the platform says nothing of words between brokers. */
  public Config(
      String name,
      Address listen,
      Address admin,
      Address discovery,
      long seed,
      JsonObject known,
      int sockets,
      Settings settings,
      Product product,
      Path scratch,
      long writtenMs) {
    this(
        name, listen, admin, discovery, seed, known, sockets, settings, product, scratch, writtenMs,
        null);
  }

  /** An IP address and a port. */
  public record Address(String host, int port) {
    public static Address parse(String what, String text) {
      int colon = text.lastIndexOf(':');
      try {
        int port = Integer.parseInt(text.substring(colon + 1));
        if (colon > 0 && port >= 0 && port <= 65_535) {
          return new Address(text.substring(0, colon), port);
        }
      } catch (NumberFormatException e) {
        // worded below, as for any other text that is no address
      }
      throw new ConfigException(what + " is no HOST:PORT: " + text);
    }
  }

  /** The configuration can not be used; the message is one plain line. */
  public static final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public ConfigException(String message) {
      super(message.replaceAll("\\s+", " "));
    }
  }

  /** From what the file holds; {@code env} holds the ROUTER_ variables. */
  static Config read(Path file, JsonObject root, Product product, Map<String, String> env) {
    try {
      JsonValue settings = root.get("settings");
      if (settings == null) {
        throw new ConfigException("settings is missing");
      }
      JsonValue known = root.get("known");
      String name = env.getOrDefault("ROUTER_NAME", root.getString("name", "broker"));
      GossipAddresses talk = GossipAddresses.read(root);
      return new Config(
          name,
          Address.parse("listen", env.getOrDefault("ROUTER_LISTEN", root.getString("listen", ""))),
          admin(env.getOrDefault(ADMIN, root.getString("admin_addr", ""))),
          Address.parse("discovery", env.getOrDefault(DISCOVERY, root.getString("discovery", ""))),
          Long.parseUnsignedLong(root.getString("seed", "0"), 16),
          known == null || known.isNull() ? Json.object() : known.asObject(),
          sockets(root.get("limits")),
          SettingsReader.read(settings.asObject()),
          GossipAddresses.placed(product, talk, name),
          env.getOrDefault(SCRATCH, "").isEmpty() ? null : Path.of(env.get(SCRATCH)),
          written(file),
          talk);
    } catch (ConfigException e) {
      throw new ConfigException(file + ": " + e.getMessage());
    } catch (RuntimeException e) {
      throw new ConfigException(file + " does not hold what it should: " + e.getMessage());
    }
  }

  private static long written(Path file) {
    try {
      return Math.max(0, Files.getLastModifiedTime(file).toMillis());
    } catch (IOException e) {
      return 0; // it was there a moment ago: older than any
    }
  }

  private static Address admin(String text) {
    return text.isEmpty() ? null : Address.parse("admin_addr", text);
  }

  private static int sockets(JsonValue limits) {
    int sockets =
        limits == null || limits.isNull() ? SOCKETS : limits.asObject().getInt("sockets", SOCKETS);
    if (sockets < LEAST_SOCKETS) {
      throw new ConfigException("limits.sockets is under " + LEAST_SOCKETS + ": " + sockets);
    }
    return sockets;
  }

  static JsonObject json(Path file) {
    try {
      return Json.parse(Files.readString(file)).asObject();
    } catch (NoSuchFileException e) {
      throw new ConfigException("there is no file " + file);
    } catch (IOException | RuntimeException e) {
      throw new ConfigException("cannot read " + file + ": " + e.getMessage());
    }
  }
}
