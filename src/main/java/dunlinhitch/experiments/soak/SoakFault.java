package dunlinhitch.experiments.soak;

/**
 * One fault of a soak run.
 *
 * @param atMs start in milliseconds after the start of the load
 * @param forMs duration in milliseconds
 * @param broker number of the affected broker
 * @param store number of the affected store
 */
public record SoakFault(Kind kind, int atMs, int forMs, int broker, int store) {
  /** The kind of a fault; it determines whether the broker, the store or both are affected. */
  public enum Kind {
    /** Bytes from the broker to the store are held back. */
    REQUESTS_HELD,
    /** Bytes from the store to the broker are held back. */
    ANSWERS_HELD,
    /** Bytes are held back in both directions. */
    LINK_HELD,
    /** Bytes from the broker to the store arrive a few at a time. */
    LINK_SLOW,
    /** The broker's connections to the store are reset. */
    LINK_RESET,
    /** The store accepts parts but does not answer them. */
    STORE_HANGS,
    /** The store reads nothing from its connections. */
    STORE_FROZEN,
    /** The store rejects all work. */
    STORE_FULL,
    /** Discovery reports the store as draining, then as ready again. */
    STORE_DRAINS,
    /** Bytes from discovery to the broker are held back. */
    DISCOVERY_HELD,
    /** The broker reloads its configuration on SIGHUP. */
    RELOAD,
    /** The broker process is stopped by SIGSTOP and continued by SIGCONT. */
    BROKER_PAUSED,
    /** Clients send valid and invalid requests to the broker without a pause. */
    FLOOD,
    /** Many connections to the broker stop in the middle of a large request. */
    CROWD
  }
}
