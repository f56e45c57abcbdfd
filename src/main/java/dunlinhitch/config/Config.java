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
 * @param initialEndpoints the endpoint list as the broker last had it, empty if there was none
 * @param sockets number of file descriptors that the process may have open
 * @param settings settings of the load balancer
 * @param product what the product's own settings file switches on
 * @param sharedFolder a folder that the processes of this broker share, or null
 * @param writtenMs when the file was written, Unix time in milliseconds; 0 if unknown
 * @param gossipAddresses what the platform says of the addresses for gossip, or null
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
  /** Number of file descriptors where the file has no {@code limits.sockets}. */
  public static final int DEFAULT_SOCKETS = 1024;

  /** Creates a configuration of a platform without addresses for gossip. */
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
     * @throws ConfigException if the text has another form
     */
    public static Address parse(String what, String text) {
      int colon = text.lastIndexOf(':');
      try {
        int port = Integer.parseInt(text.substring(colon + 1));
        if (colon > 0 && port >= 0 && port <= MAX_PORT) {
          return new Address(text.substring(0, colon), port);
        }
      } catch (NumberFormatException e) {
        // reported below, as any other text that is no address
      }
      throw new ConfigException(what + " is no HOST:PORT: " + text);
    }

    /** Returns whether the host is written as an IP address, so that no name has to be resolved. */
    boolean hasIpAddress() {
      return host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")
          || host.matches("\\[?[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\]?");
    }

    /** Returns whether other processes can send to this address: an IP address with a port. */
    boolean isReachable() {
      return hasIpAddress() && port != 0;
    }

    /** Returns {@code HOST:PORT}. */
    String hostAndPort() {
      return host + ":" + port;
    }
  }

  /** The configuration can not be used; the message is one line in plain text. */
  public static final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an error; line breaks in the message become blanks. */
    public ConfigException(String message) {
      super(message.replaceAll("\\s+", " "));
    }
  }
}
