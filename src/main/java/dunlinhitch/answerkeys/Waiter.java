package dunlinhitch.answerkeys;

/**
 * A request that waits for an in-flight fetch: a query of this broker, or a fetch of another broker
 * that asked this one as the owner of the key. Mutable; owned by {@link FetchTable}.
 */
final class Waiter {
  /** The other broker, or null if a query of this broker waits. */
  final String peer;

  /** The identifier of the query, or that of the fetch at the other broker. */
  final long id;

  final PartQuery part;

  /** The time in microseconds at which it stops waiting. */
  final long deadlineUs;

  /** The number of failed attempts of earlier leaders that it has waited for. */
  int attemptsUsed;

  /** Whether the random selection has already decided that this waiter is not a trial. */
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
