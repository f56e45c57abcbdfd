package dunlinhitch.server;

/**
 * The name and version of this build, as commands print it and as gossip carries it to other
 * brokers.
 */
public final class BuildVersion {
  /** Name and version, separated by a space. */
  public static final String TEXT = "dunlinhitch 0.1.0";

  private BuildVersion() {}
}
