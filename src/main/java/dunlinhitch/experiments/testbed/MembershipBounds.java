package dunlinhitch.experiments.testbed;

import dunlinhitch.cluster.MembershipProtocolSettings;

/**
 * The convergence and traffic bounds of docs/view.md, computed only from the settings of the
 * membership protocol and the cluster size. Times are in microseconds. Stateless.
 */
public final class MembershipBounds {
  /**
   * Bytes that one broker occupies in an anti-entropy page, given the names and addresses of the
   * simulation.
   */
  private static final int BROKER_BYTES = 48;

  /** Maximum number of pings that a broker sends in one protocol period. */
  private static final int PINGS_PER_PERIOD = 3;

  /** IP and UDP headers of one datagram. */
  private static final int DATAGRAM_HEADER_BYTES = 28;

  private MembershipBounds() {}

  /**
   * Returns the time in microseconds in which an update reaches all brokers. This time is 2 *
   * log2(brokers + 1) protocol periods.
   */
  private static double disseminationUs(MembershipProtocolSettings settings, int brokers) {
    return 2 * settings.periodUs() * Math.log(brokers + 1) / Math.log(2);
  }

  /** Returns the time in microseconds in which anti-entropy covers all pages. */
  private static double antiEntropyUs(MembershipProtocolSettings settings, int brokers) {
    return 4.0
        * settings.periodUs()
        * Math.ceil((double) brokers * BROKER_BYTES / settings.antiEntropyBytes());
  }

  /**
   * Returns the upper bound of the convergence time after brokers leave gracefully. The bound holds
   * if at least one other broker receives the announcement of each leaving broker.
   */
  public static long leaveUs(MembershipProtocolSettings settings, int brokers) {
    return (long) (4 * settings.periodUs() + 2 * disseminationUs(settings, brokers));
  }

  /**
   * Returns the upper bound of the convergence time after brokers join or a partition heals, even
   * if both happen at the same time.
   */
  public static long joinUs(MembershipProtocolSettings settings, int brokers) {
    return (long)
        (8 * settings.periodUs()
            + 2 * disseminationUs(settings, brokers)
            + antiEntropyUs(settings, brokers));
  }

  /** Returns the upper bound of the convergence time after brokers crash or a partition begins. */
  public static long dieUs(MembershipProtocolSettings settings, int brokers) {
    double suspicionUs =
        settings.suspicionMultiplier()
            * settings.suspicionTimeoutUs()
            * Math.max(1, Math.log10(brokers));
    return (long)
        ((settings.pingAttempts() + 4) * settings.periodUs()
            + suspicionUs
            + 2 * disseminationUs(settings, brokers)
            + antiEntropyUs(settings, brokers));
  }

  /**
   * Returns the upper bound of the bytes that one broker sends per second, averaged over the
   * brokers, under any faults. The bound assumes that every message has the maximum size.
   */
  public static double bytesPerS(MembershipProtocolSettings settings) {
    int messages = PINGS_PER_PERIOD * (4 + 4 * settings.indirectProbes()) + 2;
    return (messages * (settings.maxMessageBytes() + (double) DATAGRAM_HEADER_BYTES)
            + settings.antiEntropyBytes())
        * 1e6
        / settings.periodUs();
  }
}
