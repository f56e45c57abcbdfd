package dunlinhitch.answerkeys;

/**
 * A sample of an answer for the shadow comparison: the part for which the answer was fetched, and
 * the properties that are compared.
 */
record AnswerSample(
    PartQuery part,
    long digest,
    long generation,
    String store,
    long storeStartedMs,
    long requestedUs) {
  /** The estimated size of a sample without the text of its part, in bytes. */
  private static final int OVERHEAD_BYTES = 600;

  static AnswerSample of(CachedAnswer cached) {
    StoreAnswer answer = cached.answer();
    return new AnswerSample(
        cached.fetchedFor(),
        answer.digest(),
        answer.generation(),
        answer.store(),
        answer.storeStartedMs(),
        cached.requestedUs());
  }

  /** Whether the same incarnation of a store returned both answers. */
  boolean sameStore(AnswerSample other) {
    return store.equals(other.store) && storeStartedMs == other.storeStartedMs;
  }

  /**
   * Whether both answers are based on the same data, because their reported generations are equal.
   */
  boolean sameGeneration(AnswerSample other) {
    return generation > 0 && generation == other.generation;
  }

  /**
   * Whether both answers are probably based on the same data: the same incarnation of a store
   * returned both, the store reports no generation, and the two requests were sent within {@code
   * windowUs}.
   */
  boolean likelySameData(AnswerSample other, long windowUs) {
    return generation == 0
        && other.generation == 0
        && sameStore(other)
        && Math.abs(requestedUs - other.requestedUs) <= windowUs;
  }

  long bytes() {
    return OVERHEAD_BYTES + 2L * part.text().length();
  }
}
