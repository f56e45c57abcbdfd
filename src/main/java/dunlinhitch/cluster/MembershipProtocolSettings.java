package dunlinhitch.cluster;

/**
 * The times and bounds of the membership protocol; times in microseconds.
 *
 * @param periodUs the length of a protocol period, in which one member is pinged
 * @param pingTimeoutUs the timeout of a direct ping, and also of the indirect probe that follows
 * @param indirectProbes the number of members that are asked to ping on this broker's behalf
 * @param suspicionTimeoutUs the base of the suspicion timeout, after which a suspect member is
 *     declared dead
 * @param deadRetentionUs how long a dead member is remembered, so that delayed messages do not add
 *     it again
 * @param maxMembers the maximum size of the member list
 * @param pingAttempts the number of consecutive failed pings after which a member is suspected
 * @param maxLocalHealth the maximum local health score; a slow broker multiplies its own timeouts
 *     by its score plus one; 0 disables Lifeguard's extensions
 * @param suspicionMultiplier the timeout of an unconfirmed suspicion divided by the timeout of a
 *     fully confirmed suspicion; with 1, all suspicions have the same timeout, regardless of the
 *     cluster size
 * @param maxMessageBytes the maximum size of one message
 * @param antiEntropyBytes the maximum total size of the member pages that a broker sends per period
 *     to members whose digests differ; 0 disables anti-entropy
 * @param digestCoversAddresses whether digests cover addresses; must be false if brokers may have
 *     different addresses for the same member
 */
public record MembershipProtocolSettings(
    long periodUs,
    long pingTimeoutUs,
    int indirectProbes,
    long suspicionTimeoutUs,
    long deadRetentionUs,
    int maxMembers,
    int pingAttempts,
    int maxLocalHealth,
    int suspicionMultiplier,
    int maxMessageBytes,
    int antiEntropyBytes,
    boolean digestCoversAddresses) {
  /**
   * The defaults, with a protocol period of 200 ms. The resulting bounds are documented in
   * docs/view.md.
   */
  public static final MembershipProtocolSettings STANDARD =
      new MembershipProtocolSettings(200_000, 80_000, 3, 1_000_000, 30_000_000, 1024);

  /**
   * The smallest permitted {@code maxMessageBytes}: the header, one member and the sums of all
   * buckets have to fit.
   */
  private static final int MIN_MESSAGE_BYTES = 256;

  /** Checks that the times are consistent and the bounds are within their ranges. */
  public MembershipProtocolSettings {
    requireValidTimes(
        periodUs, pingTimeoutUs, indirectProbes, suspicionTimeoutUs, deadRetentionUs, maxMembers);
    requireValidBounds(
        pingAttempts, maxLocalHealth, suspicionMultiplier, maxMessageBytes, antiEntropyBytes);
  }

  private static void requireValidTimes(
      long periodUs,
      long pingTimeoutUs,
      int indirectProbes,
      long suspicionTimeoutUs,
      long deadRetentionUs,
      int maxMembers) {
    if (periodUs <= 0
        || pingTimeoutUs <= 0
        || 2 * pingTimeoutUs > periodUs
        || indirectProbes < 0
        || suspicionTimeoutUs < periodUs
        || deadRetentionUs < suspicionTimeoutUs
        || maxMembers < 1) {
      throw new IllegalArgumentException(
          "ping timeout must be positive and at most half the period, suspicion timeout at least "
              + "one period, dead retention at least the suspicion timeout, indirect probes at "
              + "least 0 and members at least 1: got "
              + "period "
              + periodUs
              + " us, ping timeout "
              + pingTimeoutUs
              + " us, suspicion timeout "
              + suspicionTimeoutUs
              + " us, dead retention "
              + deadRetentionUs
              + " us, indirect probes "
              + indirectProbes
              + ", members "
              + maxMembers);
    }
  }

  private static void requireValidBounds(
      int pingAttempts,
      int maxLocalHealth,
      int suspicionMultiplier,
      int maxMessageBytes,
      int antiEntropyBytes) {
    if (pingAttempts < 1
        || maxLocalHealth < 0
        || suspicionMultiplier < 1
        || maxMessageBytes < MIN_MESSAGE_BYTES
        || (antiEntropyBytes != 0 && antiEntropyBytes < maxMessageBytes)) {
      throw new IllegalArgumentException(
          "ping attempts and suspicion multiplier must be at least 1, local health at least 0, "
              + "message size at least "
              + MIN_MESSAGE_BYTES
              + " bytes, and anti-entropy bytes either 0 or at least the message size: got "
              + "ping attempts "
              + pingAttempts
              + ", local health "
              + maxLocalHealth
              + ", suspicion multiplier "
              + suspicionMultiplier
              + ", message bytes "
              + maxMessageBytes
              + ", anti-entropy bytes "
              + antiEntropyBytes);
    }
  }

  /** Creates settings with the given times and the standard bounds. */
  public MembershipProtocolSettings(
      long periodUs,
      long pingTimeoutUs,
      int indirectProbes,
      long suspicionTimeoutUs,
      long deadRetentionUs,
      int maxMembers) {
    this(
        periodUs,
        pingTimeoutUs,
        indirectProbes,
        suspicionTimeoutUs,
        deadRetentionUs,
        maxMembers,
        3,
        8,
        4,
        1_200,
        4_800,
        true);
  }

  /** Returns a copy with the given maximum message size. */
  public MembershipProtocolSettings withMaxMessageBytes(int bytes) {
    return new MembershipProtocolSettings(
        periodUs,
        pingTimeoutUs,
        indirectProbes,
        suspicionTimeoutUs,
        deadRetentionUs,
        maxMembers,
        pingAttempts,
        maxLocalHealth,
        suspicionMultiplier,
        bytes,
        antiEntropyBytes,
        digestCoversAddresses);
  }

  /** Returns a copy in which {@code digestCoversAddresses} has the given value. */
  public MembershipProtocolSettings withAddresses(boolean compared) {
    return new MembershipProtocolSettings(
        periodUs,
        pingTimeoutUs,
        indirectProbes,
        suspicionTimeoutUs,
        deadRetentionUs,
        maxMembers,
        pingAttempts,
        maxLocalHealth,
        suspicionMultiplier,
        maxMessageBytes,
        antiEntropyBytes,
        compared);
  }

  /** Returns a copy without Lifeguard, retries and anti-entropy, as a baseline for measurements. */
  public MembershipProtocolSettings baseline() {
    return new MembershipProtocolSettings(
        periodUs,
        pingTimeoutUs,
        2,
        suspicionTimeoutUs,
        deadRetentionUs,
        maxMembers,
        1,
        0,
        1,
        32_768,
        0,
        digestCoversAddresses);
  }

  /** Whether Lifeguard's extensions to SWIM are enabled. */
  boolean isLifeguardEnabled() {
    return maxLocalHealth > 0;
  }

  /** Whether digests are announced and compared. */
  boolean isAntiEntropyEnabled() {
    return antiEntropyBytes > 0;
  }
}
