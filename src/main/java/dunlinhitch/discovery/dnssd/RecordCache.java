package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.TimingWheel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/**
 * Caches record sets and schedules the queries for them. A set is refreshed at 80 to 90 % of its
 * TTL, with at most one query in flight, and retried with backoff after a failure. Performs no I/O
 * and reads no clock. Not thread-safe. Times are in microseconds.
 */
final class RecordCache {
  /** Earliest refresh of a set, as a share of its TTL. */
  private static final double REFRESH_FRACTION = 0.8;

  /** Width of the range over which refreshes are spread, as a share of the TTL. */
  private static final double REFRESH_SPREAD = 0.1;

  private static final JitteredBackoff RETRY = new JitteredBackoff(200_000, 30_000_000, 0.75, 0.5);

  private final int maxInFlight;
  private final RandomGenerator random;
  private final TimingWheel<RecordSet> wheel;
  private final Map<Question, RecordSet> sets = new HashMap<>();
  private final Set<RecordSet> pendingQueries = new LinkedHashSet<>();
  private int inFlight;
  private long version;
  private long nowUs;

  RecordCache(int maxInFlight, RandomGenerator random, long nowUs) {
    this.maxInFlight = maxInFlight;
    this.random = random;
    this.nowUs = nowUs;
    wheel = new TimingWheel<>(nowUs);
  }

  /** Returns the latest time that was passed to {@link #advance}. */
  long nowUs() {
    return nowUs;
  }

  /** Advances the time and queues the queries that have become due. */
  void advance(long toUs) {
    nowUs = Math.max(nowUs, toUs);
    wheel.advance(nowUs, this::queryNow);
  }

  /** Returns the record set, or null if there is none. */
  RecordSet get(Question key) {
    return sets.get(key);
  }

  RecordSet getOrCreate(Question key) {
    return sets.computeIfAbsent(
        key,
        absent -> {
          version++;
          return new RecordSet(absent);
        });
  }

  /** Returns a live view of the names and types of all sets. */
  Set<Question> keys() {
    return sets.keySet();
  }

  /** Returns a version that changes whenever {@link #keys} does. */
  long version() {
    return version;
  }

  /** Returns true if every set has been answered. */
  boolean isComplete() {
    return sets.values().stream().allMatch(set -> set.answered);
  }

  /** Makes the instance depend on the set and queues a query if the set is unanswered. */
  RecordSet acquire(ServiceInstance instance, Question key) {
    RecordSet set = getOrCreate(key);
    set.dependents.add(instance);
    if (!set.answered) {
      queryNow(set);
    }
    return set;
  }

  /**
   * Ends the dependency of the instance on the set. A set without dependents is evicted. A null set
   * is ignored.
   */
  void release(ServiceInstance instance, RecordSet set) {
    if (set == null) {
      return;
    }
    set.dependents.remove(instance);
    if (!set.dependents.isEmpty() || set.key.type() == Type.PTR) {
      return;
    }
    cancelQuery(set);
    inFlight -= set.querying ? 1 : 0;
    sets.remove(set.key);
    version++;
  }

  /** Queues a query unless one is in flight. A null set is ignored. */
  void queryNow(RecordSet set) {
    if (set != null && !set.querying) {
      wheel.cancel(set.timer);
      pendingQueries.add(set);
    }
  }

  /** Queues a query for every set that no push session is subscribed to. */
  void queryAllUnsubscribed() {
    for (RecordSet set : sets.values()) {
      if (!set.subscribed) {
        queryNow(set);
      }
    }
  }

  /** Dequeues and returns queries, up to the limit on queries in flight. */
  List<Question> startQueries() {
    List<Question> started = new ArrayList<>();
    for (RecordSet set : List.copyOf(pendingQueries)) {
      if (inFlight >= maxInFlight) {
        break;
      }
      pendingQueries.remove(set);
      if (!set.querying && sets.get(set.key) == set) {
        set.querying = true;
        inFlight++;
        started.add(set.key);
      }
    }
    return started;
  }

  /** Returns when the next query is due; a response can make queries due earlier. */
  long nextUs() {
    return pendingQueries.isEmpty() || inFlight >= maxInFlight ? wheel.nextUs() : nowUs;
  }

  /**
   * Marks the query as completed and returns its record set. Returns null if no such query is in
   * flight, for example because the set was evicted.
   */
  RecordSet completeQuery(Question question) {
    RecordSet set = sets.get(question);
    if (set == null || !set.querying) {
      return null;
    }
    set.querying = false;
    inFlight--;
    return set;
  }

  /** Schedules a retry of the query after a backoff and leaves the set unchanged. */
  void retryLater(RecordSet set) {
    queryAt(set, nowUs + RETRY.delayUs(set.failures++, random));
  }

  /** Replaces the records of a set and schedules its refresh unless it has a push subscription. */
  void store(RecordSet set, List<Record> records, long ttlUs) {
    set.answered = true;
    set.ttlUs = ttlUs;
    set.expiresUs = set.subscribed ? TimingWheel.NEVER : nowUs + ttlUs;
    cancelQuery(set);
    if (!set.subscribed) {
      double fraction = REFRESH_FRACTION + REFRESH_SPREAD * random.nextDouble();
      queryAt(set, nowUs + (long) (ttlUs * fraction));
    }
    set.records = records;
  }

  /**
   * Handles the start or the end of a push subscription to the set. An unanswered set is queried
   * even while it is subscribed, since a server pushes nothing for a set without records.
   *
   * @return true if the lifetime of the records has changed
   */
  boolean setSubscribed(RecordSet set, boolean subscribed) {
    if (set.subscribed == subscribed) {
      return false;
    }
    set.subscribed = subscribed;
    if (!set.answered) {
      return false;
    }
    if (subscribed) {
      cancelQuery(set);
      set.expiresUs = TimingWheel.NEVER;
    } else {
      set.expiresUs = nowUs + set.ttlUs;
      // All subscriptions of a session end at the same time: spread the refreshes over the TTL.
      queryAt(set, nowUs + (long) (set.ttlUs * REFRESH_FRACTION * random.nextDouble()));
    }
    return true;
  }

  private void cancelQuery(RecordSet set) {
    wheel.cancel(set.timer);
    pendingQueries.remove(set);
  }

  private void queryAt(RecordSet set, long dueUs) {
    wheel.cancel(set.timer);
    set.timer = wheel.schedule(dueUs, set);
  }
}
