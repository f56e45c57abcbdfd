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
 * The cached record sets and the schedule of queries for them. A set is refreshed at 80 to 90 % of
 * its TTL, with one query in flight for each set, and retried with backoff after a failure. No I/O
 * and no clock; not thread-safe; times are microseconds.
 */
final class RecordCache {
  /** Share of the TTL after which a set is refreshed at the earliest. */
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

  /** Latest time that {@link #advance} was called with. */
  long nowUs() {
    return nowUs;
  }

  /** Moves the time on and queues the queries that have fallen due. */
  void advance(long toUs) {
    nowUs = Math.max(nowUs, toUs);
    wheel.advance(nowUs, this::queryNow);
  }

  /** The set, or null where there is none. */
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

  /** Names and types of all sets; a live view. */
  Set<Question> keys() {
    return sets.keySet();
  }

  /** Changes whenever {@link #keys} does. */
  long version() {
    return version;
  }

  /** True once every set has been answered. */
  boolean isComplete() {
    return sets.values().stream().allMatch(set -> set.answered);
  }

  /** Makes the instance depend on the set, which is queried unless it has been answered. */
  RecordSet acquire(ServiceInstance instance, Question key) {
    RecordSet set = getOrCreate(key);
    set.dependents.add(instance);
    if (!set.answered) {
      queryNow(set);
    }
    return set;
  }

  /** Ends the dependency; evicts the set where it was the last one. A null set is ignored. */
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

  /** Takes from the queue as many queries as may be in flight. */
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

  /** When {@link #startQueries} may have a query; it may also have one after each response. */
  long nextUs() {
    return pendingQueries.isEmpty() || inFlight >= maxInFlight ? wheel.nextUs() : nowUs;
  }

  /** Ends the query in flight; null where there is none, as for a set that has been evicted. */
  RecordSet completeQuery(Question question) {
    RecordSet set = sets.get(question);
    if (set == null || !set.querying) {
      return null;
    }
    set.querying = false;
    inFlight--;
    return set;
  }

  /** Leaves the set as it is and retries its query after a backoff. */
  void retryLater(RecordSet set) {
    queryAt(set, nowUs + RETRY.delayUs(set.failures++, random));
  }

  /** Replaces the records of a set and schedules its refresh, unless it is subscribed to. */
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
   * A push session has subscribed to the set, or is no longer. A set that has not been answered is
   * queried all the same, since a server pushes nothing where there is no record.
   *
   * @return true where the lifetime of the records has changed
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
      // Spread from now on: the end of a session ends all its subscriptions in one moment.
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
