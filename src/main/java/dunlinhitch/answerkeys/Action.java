package dunlinhitch.answerkeys;

/**
 * An action that {@link AnswerKeyModule} requests from its caller. The caller must perform actions
 * in the order in which they were returned.
 */
public sealed interface Action {
  /** The reason why a waiting query failed. */
  enum FailureReason {
    /** The deadline of the query has passed. */
    DEADLINE_EXCEEDED,
    /**
     * The query has reached the maximum number of attempts. The count includes the failed attempts
     * of the leaders for which the query waited.
     */
    ATTEMPTS_EXHAUSTED
  }

  /** The kind of a reply from the owner of a key to a peer. */
  enum OwnerReply {
    /** The reply contains the answer. */
    ANSWER,
    /** The peer is granted the lease: it has to fetch the answer and report it to the owner. */
    FETCH,
    /** The owner cannot provide the answer. The peer fetches it without a lease. */
    NONE
  }

  /**
   * Sends a request to a store for this query alone. The caller passes the answer to {@link
   * AnswerKeyModule#onBypassAnswered}.
   */
  record Bypass(long query) implements Action {}

  /**
   * Makes the query the leader of a fetch: a request is sent to a store on behalf of all waiters.
   *
   * @param attemptsUsed the number of failed attempts by earlier leaders while the query waited
   * @param adoptsRequest whether the query takes over the previous leader's request, which is still
   *     in flight, instead of sending a new one
   */
  record Fetch(long fetchId, long query, int attemptsUsed, boolean adoptsRequest)
      implements Action {}

  /** Answers the query with the answer that was fetched for another query. */
  record Respond(long query, CachedAnswer cached) implements Action {}

  /** Ends a waiting query without an answer. */
  record Fail(long query, FailureReason reason) implements Action {}

  /** Cancels the request of a fetch, because its answer is no longer needed. */
  record CancelFetch(long fetchId) implements Action {}

  /**
   * Asks the owner of the key for the answer.
   *
   * @param deadlineUs the time at which this broker stops waiting for the owner and fetches the
   *     answer itself
   */
  record RequestFromOwner(
      String owner, long fetchId, AnswerKey key, PartQuery part, long deadlineUs)
      implements Action {}

  /**
   * Reports the result of a fetch to the owner of the key, after the owner has granted the lease or
   * has not replied in time.
   *
   * @param cached the answer, or null if the fetch had no result
   */
  record ReportToOwner(String owner, AnswerKey key, CachedAnswer cached) implements Action {}

  /**
   * Gossips the evidence about rules immediately instead of with the next periodic message, because
   * a rule has become suspect or withdrawn.
   */
  record GossipNow() implements Action {}

  /**
   * Replies to a peer that sent a request to this broker as the owner of the key.
   *
   * @param fetchId the identifier of the fetch at that peer
   * @param cached the answer with {@link OwnerReply#ANSWER}, otherwise null
   */
  record ReplyToPeer(
      String peer, long fetchId, AnswerKey key, OwnerReply reply, CachedAnswer cached)
      implements Action {}
}
