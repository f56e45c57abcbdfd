package dunlinhitch.cluster;

/**
 * The times and bounds of the membership protocol; times in microseconds.
 *
 * @param periodUs length of the protocol period: one member is pinged in each
 * @param pingTimeoutUs timeout of a direct ping; after it the indirect probe begins, which takes as
 *     long
 * @param indirectProbes members that are asked to ping on this broker's behalf
 * @param suspicionTimeoutUs base of the suspicion timeout: a suspect member is declared dead after
 *     it
 * @param deadRetentionUs how long a dead member is remembered, so that late messages do not bring
 *     it back
 * @param maxMembers bound of the member list
 * @param pingAttempts failed pings in a row before a member is suspected
 * @param maxLocalHealth bound of the local health score, by which a broker that is slow itself
 *     stretches its timeouts; 0: Lifeguard's extensions are off
 * @param suspicionMultiplier factor by which a suspicion that nobody confirms lasts longer than one
 *     with all confirmations; 1: all last the same, whatever the cluster size
 * @param maxMessageBytes bound of one message
 * @param antiEntropyBytes bound of the member pages that a broker sends in a period to members
 *     whose digest differs; 0: anti-entropy is off
 * @param addresses whether digests cover addresses; off where each broker may know another address
 *     of the same member
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
    boolean addresses) {
  /** A protocol period of 200 ms; the bounds that follow stand in docs/view.md. */
  public static final MembershipProtocolSettings STANDARD =
      new MembershipProtocolSettings(200_000, 80_000, 3, 1_000_000, 30_000_000, 1024);

  /** A message of this size has room for its header, one member and the sums of all buckets. */
  private static final int MIN_MESSAGE_BYTES = 256;

  /** Checks that the times fit each other and the bounds are positive. */
  public MembershipProtocolSettings {
    requireValidTimes(
        periodUs, pingTimeoutUs, indirectProbes, suspicionTimeoutUs, deadRetentionUs, maxMembers);
    requireValidBounds(
        pingAttempts, maxLocalHealth, suspicionMultiplier, maxMessageBytes, antiEntropyBytes);
  }

  private static void requireValidTimes(
      long everyUs, long answerUs, int helpers, long suspectUs, long forgetUs, int mostPeers) {
    if (everyUs <= 0
        || answerUs <= 0
        || 2 * answerUs > everyUs
        || helpers < 0
        || suspectUs < everyUs
        || forgetUs < suspectUs
        || mostPeers < 1) {
      throw new IllegalArgumentException(
          "an answer is waited for above 0 and at most half as long as between looks, a "
              + "suspicion lasts one look or more, and the dead are remembered longer: every "
              + everyUs
              + ", answer "
              + answerUs
              + ", suspect "
              + suspectUs
              + ", forget "
              + forgetUs
              + " us, helpers "
              + helpers
              + ", peers "
              + mostPeers);
    }
  }

  private static void requireValidBounds(
      int tries, int mostHealth, int stretch, int wordBytes, int pageBytes) {
    if (tries < 1
        || mostHealth < 0
        || stretch < 1
        || wordBytes < MIN_MESSAGE_BYTES
        || (pageBytes != 0 && pageBytes < wordBytes)) {
      throw new IllegalArgumentException(
          "looks are made once or more, times stretched from 1 on, a word has "
              + MIN_MESSAGE_BYTES
              + " bytes or more, and pages are none or at least one word: tries "
              + tries
              + ", health "
              + mostHealth
              + ", stretch "
              + stretch
              + ", word "
              + wordBytes
              + ", pages "
              + pageBytes);
    }
  }

  /** These times with the standard bounds. */
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

  /** The same with messages of at most that many bytes. */
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
        addresses);
  }

  /** The same with addresses covered by the digests, or not. */
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

  /** The same without Lifeguard, retries and anti-entropy, as a baseline for measurements. */
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
        addresses);
  }

  /** Whether Lifeguard's extensions to SWIM are on. */
  boolean isLifeguardEnabled() {
    return maxLocalHealth > 0;
  }

  /** Whether digests are announced and compared. */
  boolean isAntiEntropyEnabled() {
    return antiEntropyBytes > 0;
  }
}
