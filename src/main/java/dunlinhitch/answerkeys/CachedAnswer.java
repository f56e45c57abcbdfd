package dunlinhitch.answerkeys;

/**
 * An answer with the information that is needed to reuse it.
 *
 * @param fetchedFor the part for which the answer was fetched
 * @param requestedUs when the answer was requested from the store, in microseconds; the age of the
 *     answer is counted from this time
 */
public record CachedAnswer(StoreAnswer answer, PartQuery fetchedFor, long requestedUs) {
  /**
   * Returns the answer in the form that is sent to peers: without the value if the answer may not
   * be cached.
   */
  CachedAnswer forPeers() {
    return answer.complete() && answer.cacheable()
        ? this
        : new CachedAnswer(answer.withoutValue(), fetchedFor, requestedUs);
  }

  /** The estimated memory use in bytes. */
  long bytes() {
    return answer.bytes() + 2L * fetchedFor.text().length();
  }
}
