package dunlinhitch.answerkeys;

/** An action requested by {@link AnswerKeyModule}; the caller performs actions in their order. */
public sealed interface Action {
  /** Why a waiting query failed. */
  enum FailureReason {
    /** Its deadline passed. */
    DEADLINE_EXCEEDED,
    /** The failed requests that it waited for used up its attempts. */
    ATTEMPTS_EXHAUSTED
  }

  /** The reply of the owner of a key to a peer. */
  enum OwnerReply {
    /** The answer is attached. */
    ANSWER,
    /** The peer gets the lease: it is to fetch the answer and report it. */
    FETCH,
    /** The owner cannot provide the answer; the peer fetches it for itself. */
    NONE
  }

  /**
   * Sends a request to a store for this query alone. The answer is passed to {@link
   * AnswerKeyModule#onBypassAnswered}.
   */
  record Bypass(long query) implements Action {}

  /**
   * The query becomes the leader: it sends a request to a store for all waiters.
   *
   * @param attemptsUsed the number of failed attempts of earlier leaders that it has waited for
   * @param adoptsRequest whether the request of the previous leader, still in flight, becomes its
   *     own
   */
  record Fetch(long fetchId, long query, int attemptsUsed, boolean adoptsRequest)
      implements Action {}

  /** Answers the query with the answer that was fetched for another query. */
  record Respond(long query, CachedAnswer cached) implements Action {}

  /** Ends a waiting query without an answer. */
  record Fail(long query, FailureReason reason) implements Action {}

  /** Cancels the request of the fetch, whose answer is no longer needed. */
  record CancelFetch(long fetchId) implements Action {}

  /**
   * Asks the owner of the key for the answer.
   *
   * @param deadlineUs the time after which this broker fetches the answer itself
   */
  record RequestFromOwner(
      String owner, long fetchId, AnswerKey key, PartQuery part, long deadlineUs)
      implements Action {}

  /**
   * Reports the result of a fetch to the owner that granted the lease or did not reply in time.
   *
   * @param cached null if the fetch had no result
   */
  record ReportToOwner(String owner, AnswerKey key, CachedAnswer cached) implements Action {}

  /**
   * Gossips the evidence about rules at once instead of with the next periodic message, because a
   * rule has lost its trust.
   */
  record GossipNow() implements Action {}

  /**
   * Replies to the peer that asked this broker as the owner of the key.
   *
   * @param fetchId the identifier of the fetch at that peer
   * @param cached present only with {@link OwnerReply#ANSWER}
   */
  record ReplyToPeer(
      String peer, long fetchId, AnswerKey key, OwnerReply reply, CachedAnswer cached)
      implements Action {}
}
