package dunlinhitch.answerkeys;

/**
 * Settings of answer keys.
 *
 * @param trust what a rule needs before it is trusted
 * @param trialShare the share of requests that a trusted rule would answer which go to a store all
 *     the same
 * @param changeWindowUs answers of a store that states no generation count as unequal only where it
 *     was asked within this window
 * @param suspicionTimeoutUs a suspicion that is not cleared within it becomes a withdrawal
 * @param evidenceLifetimeUs how long the evidence of a broker counts
 * @param limits bounds of memory and waiting
 */
public record AnswerKeySettings(
    TrustThresholds trust,
    double trialShare,
    long changeWindowUs,
    long suspicionTimeoutUs,
    long evidenceLifetimeUs,
    Limits limits) {
  /**
   * What a rule needs before it is trusted.
   *
   * @param proposals requests in the cluster that the rule would have changed, before it is tried
   * @param pairs equal pairs in the cluster, before it is trusted
   * @param shards the number of shards that these have to come from
   * @param clientKinds the number of client kinds, likewise
   * @param brokers the number of brokers, likewise: one that misreads answers must not suffice
   */
  public record TrustThresholds(
      int proposals, int pairs, int shards, int clientKinds, int brokers) {
    private boolean isValid() {
      return proposals >= 0 && pairs >= 1 && shards >= 1 && clientKinds >= 1 && brokers >= 1;
    }
  }

  /**
   * Bounds of memory and waiting.
   *
   * @param cacheBytes the bytes of cached answers, and of samples for comparison, each
   * @param fetches the number of keys that are fetched at once
   * @param waiters the number of requests that wait for one fetch
   * @param attempts the number of attempts of a part, including those that it waited for
   */
  public record Limits(long cacheBytes, int fetches, int waiters, int attempts) {
    private boolean isValid() {
      return cacheBytes >= 1 && fetches >= 1 && waiters >= 1 && attempts >= 1;
    }
  }

  /** The defaults. */
  public static final AnswerKeySettings STANDARD =
      new AnswerKeySettings(
          new TrustThresholds(20, 100, 4, 2, 2),
          0.02,
          250_000,
          60_000_000,
          600_000_000,
          new Limits(8 << 20, 4096, 256, 4));

  /**
   * Checks the ranges.
   *
   * @throws KeysException where a setting is out of range
   */
  public AnswerKeySettings {
    if (!trust.isValid()
        || !(trialShare > 0 && trialShare <= 1)
        || changeWindowUs < 0
        || suspicionTimeoutUs <= 0
        || evidenceLifetimeUs <= 0
        || !limits.isValid()) {
      throw new KeysException(
          KeysException.Code.SETTING,
          "[keys]",
          "a figure is out of range: "
              + trust.proposals()
              + ", "
              + trust.pairs()
              + ", "
              + trust.shards()
              + ", "
              + trust.clientKinds()
              + ", "
              + trust.brokers()
              + ", "
              + trialShare,
          "each is 1 or more, and the share above 0 and at most 1: a rule that is never "
              + "tried again could give wrong answers for ever");
    }
  }
}
