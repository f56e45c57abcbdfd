package dunlinhitch.experiments.soak;

/**
 * One fault of a run.
 *
 * @param atMs when it begins, from the start of the load
 * @param forMs how long it lasts
 * @param broker the broker that it concerns, by number
 * @param store the store that it concerns, by number
 */
public record SoakFault(Kind kind, int atMs, int forMs, int broker, int store) {
  /** What happens. */
  public enum Kind {
    /** Bytes from the broker to the store wait. */
    REQUESTS_HELD,
    /** Bytes from the store to the broker wait. */
    ANSWERS_HELD,
    /** Bytes wait in both directions. */
    LINK_HELD,
    /** Bytes arrive a few at a time. */
    LINK_SLOW,
    /** The broker's connections to the store are reset. */
    LINK_RESET,
    /** The store takes work and answers nothing. */
    STORE_HANGS,
    /** The store reads nothing from its connections. */
    STORE_FROZEN,
    /** The store rejects all work. */
    STORE_FULL,
    /** The store drains, and is ready again. */
    STORE_DRAINS,
    /** Bytes from discovery to the broker wait. */
    DISCOVERY_HELD,
    /** SIGHUP. */
    RELOAD,
    /** SIGSTOP, then SIGCONT. */
    BROKER_PAUSED
  }
}
