package dunlinhitch.answerkeys;

/**
 * An answer that may be reused.
 *
 * @param fetchedFor the part for which it was fetched
 * @param requestedUs when it was requested from its store, in microseconds; its age counts from
 *     then
 */
public record CachedAnswer(StoreAnswer answer, PartQuery fetchedFor, long requestedUs) {
  /**
   * Returns the form that a peer may receive, without the value if the answer may not be cached.
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
