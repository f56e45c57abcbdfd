package dunlinhitch.answerkeys;

/**
 * The settings of the {@link AnswerKeyModule}.
 *
 * @param trust the evidence that a rule needs before it is trusted
 * @param trialShare of the requests for which trusted rules allow an answer to be reused, the
 *     fraction that is sent to a store nevertheless; these trials detect rules that have become
 *     false
 * @param changeWindowUs for stores that report no generation: two unequal answers make a rule
 *     suspect if the time between their requests is at most this long; after a longer time the data
 *     has probably changed
 * @param suspicionTimeoutUs the time after which a rule is withdrawn if its suspicion has not been
 *     cleared
 * @param evidenceLifetimeUs the lifetime of a broker's evidence
 * @param limits the bounds of memory use and waiting
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
   * @param proposals the number of requests in the cluster whose key the rule would have changed;
   *     once it is reached, answers are compared to test the rule
   * @param pairs the number of pairs of equal answers in the cluster that are required to trust the
   *     rule
   * @param shards the number of shards that these pairs have to come from
   * @param clientKinds the number of client kinds that these pairs have to come from
   * @param brokers the number of brokers that these pairs have to come from, so that a single
   *     broker that compares answers incorrectly does not suffice
   */
  public record TrustThresholds(
      int proposals, int pairs, int shards, int clientKinds, int brokers) {
    private boolean isValid() {
      return proposals >= 0 && pairs >= 1 && shards >= 1 && clientKinds >= 1 && brokers >= 1;
    }
  }

  /**
   * Bounds of memory use and waiting.
   *
   * @param cacheBytes the maximum size of the cached answers in bytes; also the maximum size of the
   *     samples for comparison, which are counted separately
   * @param fetches the maximum number of keys that are fetched at the same time
   * @param waiters the maximum number of requests that wait for one fetch
   * @param attempts the maximum number of attempts for a part, including the failed attempts of
   *     leaders that it waited for
   */
  public record Limits(long cacheBytes, int fetches, int waiters, int attempts) {
    private boolean isValid() {
      return cacheBytes >= 1 && fetches >= 1 && waiters >= 1 && attempts >= 1;
    }
  }

  /** The default settings. */
  public static final AnswerKeySettings STANDARD =
      new AnswerKeySettings(
          new TrustThresholds(20, 100, 4, 2, 2),
          0.02,
          250_000,
          60_000_000,
          600_000_000,
          new Limits(8 << 20, 4096, 256, 4));

  /**
   * Checks the ranges of all settings.
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
              + trialShare
              + ", change window "
              + changeWindowUs
              + " us, suspicion timeout "
              + suspicionTimeoutUs
              + " us, evidence lifetime "
              + evidenceLifetimeUs
              + " us, "
              + limits,
          "set proposals and the change window to at least 0, other thresholds and limits to at "
              + "least 1, other times above 0, and the trial share above 0 and at most 1; without "
              + "trials, a false rule could cause wrong answers indefinitely");
    }
  }
}
