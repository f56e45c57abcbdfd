package dunlinhitch.cluster;

/**
 * The times and bounds of the brokers' view of each other, times in microseconds.
 *
 * @param everyUs one other broker is asked whether it lives so often
 * @param answerUs an answer is waited for so long; then others are asked to ask
 * @param helpers how many others are asked to ask
 * @param suspectUs one that did not answer is suspected so long before it counts as dead
 * @param forgetUs a dead one is remembered so long, so that old word does not bring it back
 * @param mostPeers brokers that are known at once, at the most
 * @param tries looks in a row without an answer before one is suspected
 * @param mostHealth how far an ill broker stretches its own times, at the most; 0: it does not know
 *     itself
 * @param stretch a suspicion that nobody confirms lasts so many times as long, and each the longer
 *     the larger the fleet; 1: all last the same
 * @param wordBytes what one word comes to, at the most
 * @param pageBytes pages that a broker sends in a period to those whose digest differs; 0: digests
 *     are not told
 * @param addresses whether digests are of the addresses too; not where each broker may be told
 *     others for the same one
 */
public record MembershipProtocolSettings(
    long everyUs,
    long answerUs,
    int helpers,
    long suspectUs,
    long forgetUs,
    int mostPeers,
    int tries,
    int mostHealth,
    int stretch,
    int wordBytes,
    int pageBytes,
    boolean addresses) {
  /** One look a 200 ms; the bounds that follow from these stand in docs/view.md. */
  public static final MembershipProtocolSettings STANDARD =
      new MembershipProtocolSettings(200_000, 80_000, 3, 1_000_000, 30_000_000, 1024);

  /** The least that a word's own part, one broker and a row of buckets fit in. */
  private static final int LEAST_WORD = 256;

  public MembershipProtocolSettings {
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
    if (tries < 1
        || mostHealth < 0
        || stretch < 1
        || wordBytes < LEAST_WORD
        || (pageBytes != 0 && pageBytes < wordBytes)) {
      throw new IllegalArgumentException(
          "looks are made once or more, times stretched from 1 on, a word has "
              + LEAST_WORD
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

  /** The times given, and the standard for all else. */
  public MembershipProtocolSettings(
      long everyUs, long answerUs, int helpers, long suspectUs, long forgetUs, int mostPeers) {
    this(everyUs, answerUs, helpers, suspectUs, forgetUs, mostPeers, 3, 8, 4, 1_200, 4_800, true);
  }

  /** Words of that size at the most. */
  public MembershipProtocolSettings withWords(int bytes) {
    return new MembershipProtocolSettings(
        everyUs,
        answerUs,
        helpers,
        suspectUs,
        forgetUs,
        mostPeers,
        tries,
        mostHealth,
        stretch,
        bytes,
        pageBytes,
        addresses);
  }

  /** With addresses in the digests or without. */
  public MembershipProtocolSettings withAddresses(boolean compared) {
    return new MembershipProtocolSettings(
        everyUs,
        answerUs,
        helpers,
        suspectUs,
        forgetUs,
        mostPeers,
        tries,
        mostHealth,
        stretch,
        wordBytes,
        pageBytes,
        compared);
  }

  /** The view as it was before it knew itself and compared digests, to measure against. */
  public MembershipProtocolSettings plain() {
    return new MembershipProtocolSettings(
        everyUs, answerUs, 2, suspectUs, forgetUs, mostPeers, 1, 0, 1, 32_768, 0, addresses);
  }
}
