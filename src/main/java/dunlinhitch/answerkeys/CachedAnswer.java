package dunlinhitch.answerkeys;

/**
 * An answer that may be reused.
 *
 * @param fetchedFor the part for which it was fetched
 * @param requestedUs when its store was asked, in µs; its age counts from then
 */
public record CachedAnswer(StoreAnswer answer, PartQuery fetchedFor, long requestedUs) {
  /** What a peer may receive: without the value where the answer may not be cached. */
  CachedAnswer forPeers() {
    return answer.complete() && answer.cacheable()
        ? this
        : new CachedAnswer(answer.withoutValue(), fetchedFor, requestedUs);
  }

  /** An estimate of the memory that it takes. */
  long bytes() {
    return answer.bytes() + 2L * fetchedFor.text().length();
  }
}
