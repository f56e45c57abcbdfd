package dunlinhitch.answerkeys;

/**
 * A request that waits for an in-flight fetch: either a query of this broker, or a fetch of another
 * broker that requested the answer from this broker as the owner of the key. Mutable; owned by
 * {@link FetchTable}.
 */
final class Waiter {
  /** The name of the other broker; null if the waiter is a query of this broker. */
  final String peer;

  /** The identifier of the query at this broker, or of the fetch at the other broker. */
  final long id;

  final PartQuery part;

  /** The time in microseconds at which the waiter stops waiting. */
  final long deadlineUs;

  /** The number of failed attempts by earlier leaders during the wait. */
  int attemptsUsed;

  /**
   * Whether this waiter was already considered for selection as a trial; see {@link
   * AnswerCache#selectsTrial}.
   */
  boolean trialDecided;

  Waiter(String peer, long id, PartQuery part, long deadlineUs) {
    this.peer = peer;
    this.id = id;
    this.part = part;
    this.deadlineUs = deadlineUs;
  }

  boolean isLocal() {
    return peer == null;
  }

  boolean isLocalQuery(long query) {
    return isLocal() && id == query;
  }

  boolean isPeerFetch(String otherPeer, long fetchId) {
    return otherPeer.equals(peer) && id == fetchId;
  }
}
