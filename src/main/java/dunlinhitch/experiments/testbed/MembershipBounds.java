package dunlinhitch.experiments.testbed;

import dunlinhitch.cluster.MembershipProtocolSettings;

/**
 * The convergence and traffic bounds of docs/view.md, as formulas of only the membership protocol's
 * settings and the cluster size. Times are in microseconds. Stateless.
 */
public final class MembershipBounds {
  /** Size of one broker in an anti-entropy page, with the names and addresses of the model. */
  private static final int BROKER_BYTES = 48;

  /** Maximum number of pings that a broker sends in one protocol period. */
  private static final int PINGS_PER_PERIOD = 3;

  /** IP and UDP headers of one datagram. */
  private static final int DATAGRAM_HEADER_BYTES = 28;

  private MembershipBounds() {}

  /** Time in which an update reaches all: 2 log2 of the cluster size, in protocol periods. */
  private static double disseminationUs(MembershipProtocolSettings settings, int brokers) {
    return 2 * settings.periodUs() * Math.log(brokers + 1) / Math.log(2);
  }

  /** Time in which anti-entropy passes through all pages. */
  private static double antiEntropyUs(MembershipProtocolSettings settings, int brokers) {
    return 4.0
        * settings.periodUs()
        * Math.ceil((double) brokers * BROKER_BYTES / settings.antiEntropyBytes());
  }

  /** Convergence after graceful leaves that at least one other broker received. */
  public static long leaveUs(MembershipProtocolSettings settings, int brokers) {
    return (long) (4 * settings.periodUs() + 2 * disseminationUs(settings, brokers));
  }

  /** Convergence after joins, after the end of a partition, or both. */
  public static long joinUs(MembershipProtocolSettings settings, int brokers) {
    return (long)
        (8 * settings.periodUs()
            + 2 * disseminationUs(settings, brokers)
            + antiEntropyUs(settings, brokers));
  }

  /** Convergence after crashes or the start of a partition. */
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
   * Upper bound of the bytes that one broker sends per second, averaged over the brokers, under any
   * faults: it assumes that every message has the maximum size.
   */
  public static double bytesPerS(MembershipProtocolSettings settings) {
    int messages = PINGS_PER_PERIOD * (4 + 4 * settings.indirectProbes()) + 2;
    return (messages * (settings.maxMessageBytes() + (double) DATAGRAM_HEADER_BYTES)
            + settings.antiEntropyBytes())
        * 1e6
        / settings.periodUs();
  }
}
