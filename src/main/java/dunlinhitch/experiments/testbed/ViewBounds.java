package dunlinhitch.experiments.testbed;

import dunlinhitch.cluster.MembershipProtocolSettings;

/**
 * The bounds of docs/view.md as formulas of the settings, the fleet's size and nothing else; in
 * microseconds and bytes.
 */
public final class ViewBounds {
  /** What one broker comes to in a page, with names and addresses as the model has them. */
  private static final int BROKER_BYTES = 48;

  private ViewBounds() {}

  /** News to all: twice the logarithm of the fleet, in periods. */
  private static double news(MembershipProtocolSettings s, int brokers) {
    return 2 * s.periodUs() * Math.log(brokers + 1) / Math.log(2);
  }

  private static double pages(MembershipProtocolSettings s, int brokers) {
    return 4.0 * s.periodUs() * Math.ceil((double) brokers * BROKER_BYTES / s.antiEntropyBytes());
  }

  /** Some leave as asked, and one or more of the others heard it. */
  public static long leaveUs(MembershipProtocolSettings s, int brokers) {
    return (long) (4 * s.periodUs() + 2 * news(s, brokers));
  }

  /** Some join, or a cut is over, or both. */
  public static long joinUs(MembershipProtocolSettings s, int brokers) {
    return (long) (8 * s.periodUs() + 2 * news(s, brokers) + pages(s, brokers));
  }

  /** Some die, or are cut off. */
  public static long dieUs(MembershipProtocolSettings s, int brokers) {
    double longest =
        s.suspicionMultiplier() * s.suspicionTimeoutUs() * Math.max(1, Math.log10(brokers));
    return (long)
        ((s.pingAttempts() + 4) * s.periodUs()
            + longest
            + 2 * news(s, brokers)
            + pages(s, brokers));
  }

  /**
   * Bytes that one broker sends in a second, on the mean over the brokers, whatever fails: with
   * every word as large as it may be.
   */
  public static double bytesPerS(MembershipProtocolSettings s) {
    int looks = 3;
    int words = looks * (4 + 4 * s.indirectProbes()) + 2;
    return (words * (s.maxMessageBytes() + 28.0) + s.antiEntropyBytes()) * 1e6 / s.periodUs();
  }
}
