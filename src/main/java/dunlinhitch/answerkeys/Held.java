package dunlinhitch.answerkeys;

/**
 * An answer that may be reused: for whom it was fetched, and when its store was asked (its age
 * counts from there).
 */
public record Held(Answer answer, Ask by, long askedUs) {
  /** What another broker may be told: of an answer that is not to be kept, only that. */
  Held toTell() {
    return answer.whole() && answer.keepable()
        ? this
        : new Held(answer.withoutValue(), by, askedUs);
  }

  long bytes() {
    return answer.bytes() + 2L * by.text().length();
  }
}
