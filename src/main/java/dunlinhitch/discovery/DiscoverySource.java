package dunlinhitch.discovery;

/** Where the list of stores comes from. */
public interface DiscoverySource {
  void start();

  /** Discovery is at that address; what is held stands until something is heard from there. */
  void follow(String host, int port);

  void stop();

  /** Asks again now. */
  void resync();

  /** True once the source itself has been heard since the start. */
  boolean answered();
}
