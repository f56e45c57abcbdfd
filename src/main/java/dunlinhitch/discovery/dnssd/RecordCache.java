package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.TimingWheel;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.function.LongFunction;
import java.util.random.RandomGenerator;
import org.xbill.DNS.Record;

/**
 * Caches record sets and schedules the queries for them. A cached set is refreshed at 80 to 90 % of
 * its TTL; a set in doubt is compared with the server's within a bounded time; a set that a push
 * session follows is not queried. There is at most one query in flight for each set, and a limit on
 * all of them; failed queries are retried with backoff. Performs no I/O and reads no clock. Not
 * thread-safe. Times are in microseconds.
 */
final class RecordCache {
  /** Earliest refresh of a set, as a share of its TTL. */
  private static final double REFRESH_FRACTION = 0.8;

  /** Width of the range over which refreshes are spread, as a share of the TTL. */
  private static final double REFRESH_SPREAD = 0.1;

  /** Time in which a new push session can confirm a set before it is queried. */
  private static final long CONFIRMATION_US = 100_000;

  /** Time in which a lost push session can be replaced before other sets than lists are queried. */
  private static final long RECONNECTION_US = 2_000_000;

  /** Minimum time between two comparisons of a list of instances. */
  private static final long MIN_LIST_INTERVAL_US = 1_000_000;

  /** Minimum time between two comparisons of another set. */
  private static final long MIN_INTERVAL_US = 3_000_000;

  /** Comparisons are spread over this time for each set, up to {@link #MAX_SPREAD_US}. */
  private static final long SPREAD_US_PER_SET = 1_000;

  private static final long MAX_SPREAD_US = 1_500_000;

  private static final JitteredBackoff RETRY = new JitteredBackoff(200_000, 30_000_000, 0.75, 0.5);

  /**
   * Retries for a list of instances in doubt: withdrawn instances get work until it is compared.
   */
  private static final JitteredBackoff LIST_RETRY =
      new JitteredBackoff(200_000, 1_600_000, 0.75, 0.5);

  private final int maxInFlight;
  private final RandomGenerator random;
  private final TimingWheel<RecordSet> wheel;
  private final Map<Question, RecordSet> sets = new LinkedHashMap<>();

  /** Lists of instances whose queries are due; they go before {@link #pendingQueries}. */
  private final Set<RecordSet> pendingLists = new LinkedHashSet<>();

  private final Set<RecordSet> pendingQueries = new LinkedHashSet<>();
  private final DoubtMonitor doubts;
  private int inFlight;
  private long version;
  private long sequence;
  private long nowUs;

  RecordCache(int maxInFlight, RandomGenerator random, long nowUs) {
    this.maxInFlight = maxInFlight;
    this.random = random;
    this.nowUs = nowUs;
    wheel = new TimingWheel<>(nowUs);
    doubts = new DoubtMonitor();
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

  /** Returns a live view of the names and types of all sets, lists of instances first. */
  Set<Question> keys() {
    return sets.keySet();
  }

  /** Returns a version that changes whenever {@link #keys} does. */
  long version() {
    return version;
  }

  /** Returns true if every set has been answered. */
  boolean isComplete() {
    return sets.values().stream().allMatch(RecordSet::isAnswered);
  }

  /** Returns what is known of the sets in doubt. */
  DoubtMonitor doubts() {
    return doubts;
  }

  /** Makes the instance depend on the set and queues a query if the set is unanswered. */
  RecordSet acquire(ServiceInstance instance, Question key) {
    RecordSet set = getOrCreate(key);
    set.dependents.add(instance);
    if (!set.isAnswered()) {
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
    if (!set.dependents.isEmpty() || set.isInstanceList()) {
      return;
    }
    cancelQuery(set);
    inFlight -= set.querying ? 1 : 0;
    sets.remove(set.key);
    doubts.onEvicted(set, nowUs);
    version++;
  }

  // ---- queries

  /** Queues a query unless one is in flight. A null set is ignored. */
  void queryNow(RecordSet set) {
    if (set != null && !isQueued(set)) {
      cancelQuery(set);
      (set.isInstanceList() ? pendingLists : pendingQueries).add(set);
    }
  }

  private boolean isQueued(RecordSet set) {
    return set.querying || pendingLists.contains(set) || pendingQueries.contains(set);
  }

  /** Dequeues and returns queries, up to the limit on queries in flight. */
  List<Question> startQueries() {
    List<Question> started = new ArrayList<>();
    startQueries(pendingLists, started);
    startQueries(pendingQueries, started);
    return started;
  }

  private void startQueries(Set<RecordSet> pending, List<Question> started) {
    Iterator<RecordSet> queue = pending.iterator();
    while (inFlight < maxInFlight && queue.hasNext()) {
      RecordSet set = queue.next();
      queue.remove();
      set.querying = true;
      set.askedAt = ++sequence;
      set.askedUs = nowUs;
      inFlight++;
      started.add(set.key);
    }
  }

  /** Returns when the next query is due; a response can make queries due earlier. */
  long nextUs() {
    boolean isQueueEmpty = pendingLists.isEmpty() && pendingQueries.isEmpty();
    return isQueueEmpty || inFlight >= maxInFlight ? wheel.nextUs() : nowUs;
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
    boolean isListInDoubt = set.isInstanceList() && set.state() == RecordSet.State.IN_DOUBT;
    JitteredBackoff backoff = isListInDoubt ? LIST_RETRY : RETRY;
    queryAt(set, nowUs + backoff.delayUs(set.failures++, random));
  }

  private void cancelQuery(RecordSet set) {
    wheel.cancel(set.timer);
    set.dueUs = TimingWheel.NEVER;
    pendingLists.remove(set);
    pendingQueries.remove(set);
  }

  private void queryAt(RecordSet set, long dueUs) {
    cancelQuery(set);
    set.dueUs = dueUs;
    set.timer = wheel.schedule(dueUs, set);
  }

  // ---- changes of record sets

  /** Applies an answer to a query for this set, or one in the additional section of another. */
  RecordSet.Change answer(RecordSet set, RecordSetAnswer answer) {
    boolean isOutdated = set.isOutdated(answer.askedAt());
    RecordSet.Change change = update(set, next -> set.onAnswer(answer, nowUs));
    if (set.state() == RecordSet.State.CACHED) {
      set.failures = 0;
      double fraction = REFRESH_FRACTION + REFRESH_SPREAD * random.nextDouble();
      queryAt(set, nowUs + (long) (set.ttlUs() * fraction));
    } else if (set.state() == RecordSet.State.IN_DOUBT) {
      askAgain(set, answer, isOutdated);
    }
    return change;
  }

  private void askAgain(RecordSet set, RecordSetAnswer answer, boolean isOutdated) {
    long heldUntilUs = set.removalsHeldUntilUs(answer.records());
    if (isOutdated) {
      queryNow(set);
    } else if (heldUntilUs > 0) {
      queryAt(set, Math.max(nowUs, heldUntilUs));
    } else {
      retryLater(set);
    }
  }

  /**
   * Applies a pushed record that was added, is sent first, or has a new TTL. Beside unconfirmed
   * records of an instance, a new one probably replaces them.
   */
  RecordSet.Change pushAdded(RecordSet set, Record record) {
    RecordSet.Change change = update(set, next -> set.onPushAdded(record, next, nowUs));
    boolean replaces = !change.added().isEmpty() && !set.isInstanceList();
    if (replaces && set.state() == RecordSet.State.IN_DOUBT) {
      queryNow(set);
    }
    return change;
  }

  /** Applies the pushed removal of a record, or of the complete set if it is null. */
  RecordSet.Change pushRemoved(RecordSet set, Record record) {
    RecordSet.Change change = update(set, next -> set.onPushRemoved(record, next, nowUs));
    compareAfter(set, 0);
    return change;
  }

  /** Handles the start of a push subscription: the session confirms the set, or it is compared. */
  void subscribed(RecordSet set) {
    updateState(set, set::onSubscribed);
    compareAfter(set, CONFIRMATION_US);
  }

  /** Handles the end of a push subscription: lists are compared at once, other sets later. */
  void subscriptionEnded(RecordSet set) {
    updateState(set, next -> set.onSubscriptionEnded(next, nowUs));
    compareAfter(set, set.isInstanceList() ? 0 : RECONNECTION_US);
  }

  /** Queries each set that no push session follows, because a change was announced. */
  void compareAllNow() {
    for (RecordSet set : sets.values()) {
      updateState(set, set::onChangeSuspected);
      if (set.state() != RecordSet.State.FOLLOWED) {
        queryNow(set);
      }
    }
  }

  /** Compares each set that no push session follows, since changes cannot be announced. */
  void compareAllSoon() {
    for (RecordSet set : sets.values()) {
      updateState(set, set::onChangeSuspected);
      compareAfter(set, 0);
    }
  }

  /** Compares the sets in doubt, because the server answers again. */
  void compareDoubtful() {
    sets.values().forEach(set -> compareAfter(set, 0));
  }

  /**
   * Schedules the comparison of a set in doubt, unless an earlier one is scheduled. The comparisons
   * of several sets are spread.
   */
  private void compareAfter(RecordSet set, long delayUs) {
    if (isQueued(set) || set.state() != RecordSet.State.IN_DOUBT) {
      return;
    }
    long dueUs =
        set.isInstanceList()
            ? Math.max(nowUs + delayUs, set.askedUs + MIN_LIST_INTERVAL_US)
            : Math.max(nowUs + delayUs, set.askedUs + MIN_INTERVAL_US) + spreadUs();
    if (dueUs <= nowUs) {
      queryNow(set);
    } else if (dueUs < set.dueUs) {
      queryAt(set, dueUs);
    }
  }

  private long spreadUs() {
    return (long) (Math.min(MAX_SPREAD_US, sets.size() * SPREAD_US_PER_SET) * random.nextDouble());
  }

  /** Applies a transition that changes no record; its argument is a new sequence number. */
  private void updateState(RecordSet set, LongConsumer transition) {
    update(
        set,
        next -> {
          transition.accept(next);
          return RecordSet.Change.NONE;
        });
  }

  private RecordSet.Change update(RecordSet set, LongFunction<RecordSet.Change> transition) {
    RecordSet.State before = set.state();
    boolean wasListed = set.isListed();
    RecordSet.Change change = transition.apply(++sequence);
    if (set.state() == RecordSet.State.FOLLOWED) {
      set.failures = 0;
      cancelQuery(set);
    }
    RecordSet.Change missed = wasListed ? change : RecordSet.Change.NONE;
    doubts.onTransition(before, set.state(), missed, nowUs);
    return change;
  }
}
