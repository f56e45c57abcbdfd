package dunlinhitch.config;

import com.eclipsesource.json.JsonObject;
import dunlinhitch.balancer.settings.Settings;
import java.nio.file.Path;

/**
 * A broker's configuration: the platform's JSON file, with name and addresses overridden by
 * environment variables, and the product's own settings file. Immutable.
 *
 * @param name the broker's name
 * @param listen address of the HTTP frontend
 * @param admin address for operators, or null
 * @param discovery address of the discovery service
 * @param seed seed of the balancer's random numbers
 * @param initialEndpoints the last endpoint list that the broker used, empty if there was none
 * @param sockets maximum number of open file descriptors of the process
 * @param settings settings of the load balancer
 * @param product features enabled by the product's own settings file
 * @param sharedFolder a directory that the processes of this broker share, or null
 * @param writtenMs when the file was written, Unix time in milliseconds; 0 if unknown
 * @param gossipAddresses the platform's addresses for gossip, or null
 */
public record Config(
    String name,
    Address listen,
    Address admin,
    Address discovery,
    long seed,
    JsonObject initialEndpoints,
    int sockets,
    Settings settings,
    Product product,
    Path sharedFolder,
    long writtenMs,
    GossipAddresses gossipAddresses) {
  /** Maximum number of open file descriptors if the file has no {@code limits.sockets}. */
  public static final int DEFAULT_SOCKETS = 1024;

  /** Creates a configuration without addresses for gossip. */
  public Config(
      String name,
      Address listen,
      Address admin,
      Address discovery,
      long seed,
      JsonObject initialEndpoints,
      int sockets,
      Settings settings,
      Product product,
      Path sharedFolder,
      long writtenMs) {
    this(
        name,
        listen,
        admin,
        discovery,
        seed,
        initialEndpoints,
        sockets,
        settings,
        product,
        sharedFolder,
        writtenMs,
        null);
  }

  /** Returns a folder below the one that the processes of this broker share, or null. */
  public Path sharedFolder(String name) {
    return sharedFolder == null ? null : sharedFolder.resolve(name);
  }

  /**
   * A network address.
   *
   * @param host an IP address or a host name, an IPv6 address with or without brackets
   * @param port the port, 0 to 65535
   */
  public record Address(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /**
     * Parses {@code HOST:PORT}.
     *
     * @param what name of the setting, for the error message
     * @param text the text to parse
     * @throws ConfigException if the text is not {@code HOST:PORT}
     */
    public static Address parse(String what, String text) {
      int colon = text.lastIndexOf(':');
      try {
        int port = Integer.parseInt(text.substring(colon + 1));
        if (colon > 0 && port >= 0 && port <= MAX_PORT) {
          return new Address(text.substring(0, colon), port);
        }
      } catch (NumberFormatException e) {
        // reported below, as for any other invalid address
      }
      throw new ConfigException(what + " must be HOST:PORT, not " + text);
    }

    /** Returns whether the host is an IP address, so that no name has to be resolved. */
    boolean hasIpAddress() {
      return host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")
          || host.matches("\\[?[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\]?");
    }

    /**
     * Returns whether other processes can send to this address: the host is an IP address and the
     * port is not 0.
     */
    boolean isReachable() {
      return hasIpAddress() && port != 0;
    }

    /** Returns {@code HOST:PORT}. */
    String hostAndPort() {
      return host + ":" + port;
    }
  }

  /** The configuration is invalid; the message is one line of plain text. */
  public static final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an error; line breaks in the message are replaced with spaces. */
    public ConfigException(String message) {
      super(message.replaceAll("\\s+", " "));
    }
  }
}
