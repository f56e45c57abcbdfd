package dunlinhitch.answerkeys;

/**
 * Figures of answer keys.
 *
 * @param proposals asks that a rule would have changed, over the fleet, before it is tried
 * @param pairs equal pairs, over the fleet, before it is trusted
 * @param shards shards that these have to come from at the least
 * @param kinds client kinds, likewise
 * @param brokers brokers, likewise: one that reads answers wrong must not win trust alone
 * @param share of the asks that a trusted rule would answer that go to a store all the same
 * @param nearUs answers of a store that tells no generation are taken for unequal only where it was
 *     asked within so long
 * @param suspectUs a suspicion that nothing cleared by then is a withdrawal
 * @param lifeUs what a broker said of a rule counts for so long
 * @param mostBytes answers that are kept, and traces of them that are compared, each
 * @param mostFlights keys that are fetched at once
 * @param mostWaiters that wait for one of these
 * @param mostAttempts of a part, those that it waited for with others counted
 */
public record KeySettings(
    int proposals,
    int pairs,
    int shards,
    int kinds,
    int brokers,
    double share,
    long nearUs,
    long suspectUs,
    long lifeUs,
    long mostBytes,
    int mostFlights,
    int mostWaiters,
    int mostAttempts) {
  public static final KeySettings STANDARD =
      new KeySettings(
          20, 100, 4, 2, 2, 0.02, 250_000, 60_000_000, 600_000_000, 8 << 20, 4096, 256, 4);

  public KeySettings {
    if (proposals < 0
        || pairs < 1
        || shards < 1
        || kinds < 1
        || brokers < 1
        || !(share > 0 && share <= 1)
        || nearUs < 0
        || suspectUs <= 0
        || lifeUs <= 0
        || mostBytes < 1
        || mostFlights < 1
        || mostWaiters < 1
        || mostAttempts < 1) {
      throw new KeysException(
          KeysException.Code.SETTING,
          "[keys]",
          "a figure is out of range: "
              + proposals
              + ", "
              + pairs
              + ", "
              + shards
              + ", "
              + kinds
              + ", "
              + brokers
              + ", "
              + share,
          "each is 1 or more, and the share above 0 and at most 1: a rule that is never "
              + "tried again could give wrong answers for ever");
    }
  }
}
