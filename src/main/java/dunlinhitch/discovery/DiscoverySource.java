package dunlinhitch.discovery;

/**
 * A source of endpoint lists, which reports updates as events.
 *
 * <p>All methods are called on the event loop of the source's owner and do not block.
 */
public interface DiscoverySource {
  /** Starts discovery from this source. */
  void start();

  /**
   * Switches to a new address of the discovery service. The last list remains in use until a list
   * is received from the new address.
   */
  void follow(String host, int port);

  /** Stops permanently and closes all connections. */
  void stop();

  /** Requests the endpoint list again immediately. */
  void resync();

  /** Returns true if the source has answered since the start. */
  boolean hasAnswered();
}
