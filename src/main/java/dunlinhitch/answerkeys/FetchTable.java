package dunlinhitch.answerkeys;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * The table of in-flight fetches with their timers. Decisions about fetches are made by {@link
 * RequestCoalescer} and {@link PeerProtocol}.
 */
final class FetchTable {
  /** A time at which the deadlines of a fetch must be checked. */
  private record Timer(long atUs, InFlightFetch fetch) {}

  private final Map<AnswerKey, InFlightFetch> byKey = new HashMap<>();
  private final Map<Long, InFlightFetch> byId = new HashMap<>();
  private final Map<Long, InFlightFetch> byQuery = new HashMap<>();
  private final PriorityQueue<Timer> timers =
      new PriorityQueue<>((one, other) -> Long.compare(one.atUs(), other.atUs()));
  private long lastId;

  InFlightFetch byKey(AnswerKey key) {
    return byKey.get(key);
  }

  InFlightFetch byId(long id) {
    return byId.get(id);
  }

  InFlightFetch byQuery(long query) {
    return byQuery.get(query);
  }

  int size() {
    return byId.size();
  }

  /**
   * Returns a copy of the list of fetches, so that the caller may close fetches during the
   * iteration.
   */
  List<InFlightFetch> all() {
    return List.copyOf(byId.values());
  }

  InFlightFetch open(AnswerKey key) {
    InFlightFetch fetch = new InFlightFetch(++lastId, key);
    byKey.put(key, fetch);
    byId.put(fetch.id, fetch);
    return fetch;
  }

  void close(InFlightFetch fetch) {
    fetch.closed = true;
    byKey.remove(fetch.key);
    byId.remove(fetch.id);
  }

  void join(InFlightFetch fetch, Waiter waiter) {
    fetch.waiters.add(waiter);
    schedule(waiter.deadlineUs, fetch);
    if (waiter.isLocal()) {
      byQuery.put(waiter.id, fetch);
    }
  }

  /**
   * Removes a waiter. If the waiter was the leader, the fetch has no leader until another waiter is
   * elected.
   */
  void remove(InFlightFetch fetch, Waiter waiter) {
    fetch.waiters.remove(waiter);
    if (waiter.isLocal()) {
      byQuery.remove(waiter.id);
    }
    if (fetch.leader == waiter) {
      fetch.leader = null;
    }
  }

  void schedule(long atUs, InFlightFetch fetch) {
    timers.add(new Timer(atUs, fetch));
  }

  /** Returns the next open fetch whose timer is due, or null if there is none. */
  InFlightFetch pollDue(long nowUs) {
    while (!timers.isEmpty() && timers.peek().atUs() <= nowUs) {
      InFlightFetch fetch = timers.poll().fetch();
      if (!fetch.closed) {
        return fetch;
      }
    }
    return null;
  }

  /** The time of the next timer of an open fetch, or {@link Long#MAX_VALUE} if there is none. */
  long nextTimerUs() {
    while (!timers.isEmpty() && timers.peek().fetch().closed) {
      timers.poll();
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().atUs();
  }
}
