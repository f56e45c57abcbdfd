package dunlinhitch.answerkeys;

import java.util.ArrayList;
import java.util.List;

/**
 * One fetch of the answer for a key, with the requests that wait for the answer. At most one of
 * these requests is the leader, which sends the request to a store. Mutable; owned by {@link
 * FetchTable}.
 */
final class InFlightFetch {
  final long id;
  final AnswerKey key;

  /**
   * The waiters in the order of arrival. If the fetch needs a new leader, the first waiter becomes
   * the leader.
   */
  final List<Waiter> waiters = new ArrayList<>();

  /** The leader, which is one of the waiters; null while the reply of the owner is pending. */
  Waiter leader;

  /** The broker that owns the key; null if this broker is the owner or if there is no owner. */
  String owner;

  /** The time in microseconds until which the fetch waits for the reply of the owner. */
  long ownerDeadlineUs;

  /** The key as the owner built it, which may have a different generation than {@link #key}. */
  AnswerKey ownerKey;

  /** The time in microseconds at which the lease of a leader at another broker ends. */
  long leaseUntilUs;

  /** The time in microseconds at which the current request to a store was sent. */
  long startedUs;

  /** The part for which the current request was sent; null before the first request. */
  PartQuery startedFor;

  boolean closed;

  InFlightFetch(long id, AnswerKey key) {
    this.id = id;
    this.key = key;
  }

  /** Whether a query of this broker is the leader. */
  boolean isLedLocally() {
    return leader != null && leader.isLocal();
  }
}
