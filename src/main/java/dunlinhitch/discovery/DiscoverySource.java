package dunlinhitch.discovery;

/**
 * A source of endpoint lists. Its updates arrive as events.
 *
 * <p>All methods are called on the event loop of the source's owner and do not block.
 */
public interface DiscoverySource {
  /** Starts to follow the source. */
  void start();

  /**
   * Discovery is at that address from now on; the last list stays in force until the new address
   * has sent one.
   */
  void follow(String host, int port);

  /** Stops for good and closes all connections. */
  void stop();

  /** Polls again at once. */
  void resync();

  /** True once the source itself has answered since the start. */
  boolean hasAnswered();
}
