package dunlinhitch.answerkeys;

/** What {@link AnswerKeyModule} wants done; the caller performs actions in their order. */
public sealed interface Action {
  /** Why a query that waited has no answer. */
  enum FailureReason {
    /** Its deadline passed. */
    DEADLINE_EXCEEDED,
    /** The requests it waited for used up its attempts. */
    ATTEMPTS_EXHAUSTED
  }

  /** What the owner of a key replies to a peer. */
  enum OwnerReply {
    /** The answer is attached. */
    ANSWER,
    /** The peer holds the lease: it is to fetch the answer and to report it. */
    FETCH,
    /** The owner can not help; the peer fetches for itself. */
    NONE
  }

  /**
   * The query asks a store for itself, and nobody waits for that. The answer goes to {@link
   * AnswerKeyModule#onBypassAnswered}.
   */
  record Bypass(long query) implements Action {}

  /**
   * The query leads: it asks a store for all that wait.
   *
   * @param attemptsUsed failed attempts of earlier leaders that it has waited for
   * @param adoptsRequest the request of the previous leader is in flight and becomes its own
   */
  record Fetch(long fetchId, long query, int attemptsUsed, boolean adoptsRequest)
      implements Action {}

  /** The query is answered with what was fetched for another. */
  record Respond(long query, CachedAnswer cached) implements Action {}

  /** The query has waited and ends without an answer. */
  record Fail(long query, FailureReason reason) implements Action {}

  /** Nobody waits for the request of the fetch any more. */
  record CancelFetch(long fetchId) implements Action {}

  /**
   * A message to the owner of the key.
   *
   * @param deadlineUs after it this broker fetches the answer itself
   */
  record RequestFromOwner(
      String owner, long fetchId, AnswerKey key, PartQuery part, long deadlineUs)
      implements Action {}

  /**
   * A message to the owner that had let this broker fetch, or had not replied in time.
   *
   * @param cached null where the fetch had no result
   */
  record ReportToOwner(String owner, AnswerKey key, CachedAnswer cached) implements Action {}

  /**
   * The evidence about rules is to be gossiped at once, not with the next periodic message: a rule
   * has lost its trust.
   */
  record GossipNow() implements Action {}

  /**
   * A reply of the owner to the peer that asked.
   *
   * @param fetchId the identifier of the fetch at that peer
   * @param cached present only with {@link OwnerReply#ANSWER}
   */
  record ReplyToPeer(
      String peer, long fetchId, AnswerKey key, OwnerReply reply, CachedAnswer cached)
      implements Action {}
}
