package dunlinhitch.answerkeys;

import java.util.ArrayList;
import java.util.List;

/**
 * One fetch of the answer for a key, and the requests that wait for it. At most one of them, the
 * leader, sends the request to a store. Mutable; owned by {@link FetchTable}.
 */
final class InFlightFetch {
  final long id;
  final AnswerKey key;

  /** In the order of arrival, which is the order of succession. */
  final List<Waiter> waiters = new ArrayList<>();

  /** One of the waiters, or null while the reply of the owner is awaited. */
  Waiter leader;

  /** The broker that owns the key; null where this broker does, or where there is none. */
  String owner;

  /** The moment in µs until which the reply of the owner is awaited. */
  long ownerDeadlineUs;

  /** The key as the owner names it; its generation there may differ. */
  AnswerKey ownerKey;

  /** The moment in µs at which the lease of a leader at another broker ends. */
  long leaseUntilUs;

  /** The moment in µs at which the present request to a store was sent. */
  long startedUs;

  /** The part of the leader for which that request was sent; null before the first one. */
  PartQuery startedFor;

  boolean closed;

  InFlightFetch(long id, AnswerKey key) {
    this.id = id;
    this.key = key;
  }

  /** True where a query of this broker leads. */
  boolean isLedLocally() {
    return leader != null && leader.isLocal();
  }
}
