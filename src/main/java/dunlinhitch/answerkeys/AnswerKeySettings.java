package dunlinhitch.answerkeys;

/**
 * Settings of answer keys.
 *
 * @param trust the evidence that a rule needs before it is trusted
 * @param trialShare the share of requests that are sent to a store although a trusted rule allows
 *     an answer to be reused
 * @param changeWindowUs two answers of a store that reports no generation count as unequal only if
 *     they were requested within this window
 * @param suspicionTimeoutUs a suspicion that is not cleared within this time becomes a withdrawal
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
   * The evidence that a rule needs before it is trusted.
   *
   * @param proposals the number of requests in the cluster whose key the rule would have changed,
   *     before it is tried
   * @param pairs the number of equal pairs in the cluster, before it is trusted
   * @param shards the number of shards that these pairs have to come from
   * @param clientKinds the number of client kinds that these pairs have to come from
   * @param brokers the number of brokers that these pairs have to come from: a single broker that
   *     misreads answers must not suffice
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
   * @param cacheBytes the maximum size of the cached answers, and separately of the samples for
   *     comparison, in bytes
   * @param fetches the maximum number of keys that are fetched at the same time
   * @param waiters the maximum number of requests that wait for one fetch
   * @param attempts the maximum number of attempts of a part, including those that it waited for
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
   * @throws KeysException if a setting is out of range
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
          "a setting is out of range: proposals "
              + trust.proposals()
              + ", pairs "
              + trust.pairs()
              + ", shards "
              + trust.shards()
              + ", client kinds "
              + trust.clientKinds()
              + ", brokers "
              + trust.brokers()
              + ", trial share "
              + trialShare,
          "set thresholds and limits to at least 1 (proposals to at least 0), times to valid "
              + "durations and the trial share above 0 and at most 1: without trials a false rule "
              + "could give wrong answers indefinitely");
    }
  }
}
