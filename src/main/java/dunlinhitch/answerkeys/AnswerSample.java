package dunlinhitch.answerkeys;

/**
 * What the shadow comparison remembers of an answer: for whom it was fetched, and what can be
 * compared of it.
 */
record AnswerSample(
    PartQuery part,
    long digest,
    long generation,
    String store,
    long storeStartedMs,
    long requestedUs) {
  /** An estimate of the bytes of a sample beside the text of its part. */
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

  /** True where one incarnation of a store gave both. */
  boolean sameStore(AnswerSample other) {
    return store.equals(other.store) && storeStartedMs == other.storeStartedMs;
  }

  /** True where both are certainly of the same data. */
  boolean sameGeneration(AnswerSample other) {
    return generation > 0 && generation == other.generation;
  }

  /** True where both are of the same data unless that changed between them. */
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
