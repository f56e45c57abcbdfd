package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.TimingWheel;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/**
 * All records of one name and type, and the state that says whether they are current. All
 * transitions of the state are in this class; {@link RecordCache} owns the set, calls them and
 * schedules the queries. Performs no I/O and reads no clock. Times are in microseconds.
 *
 * <p>Queries and doubts are numbered in one sequence. An answer to a query that was sent before the
 * last doubt arose may be older than the change that was missed: it adds records, but removes none
 * and ends no doubt.
 */
final class RecordSet {
  /** Whether the records are current. */
  enum State {
    /** The set has neither been answered nor pushed. */
    UNKNOWN,
    /** The last answer holds until its TTL ends or the zone's serial changes. */
    CACHED,
    /** A change may have been missed; the set has to be compared with the server's. */
    IN_DOUBT,
    /**
     * A push session has confirmed every record and reports each change. The set does not expire,
     * and answers to queries are ignored, since their server may lag behind the session's.
     */
    FOLLOWED
  }

  /**
   * Records that a transition has changed.
   *
   * @param added records that were not held before
   * @param removed records that were held before
   */
  record Change(List<Record> added, List<Record> removed) {
    static final Change NONE = new Change(List.of(), List.of());
  }

  /**
   * Time for which no answer restores a record whose removal was pushed, since the queried server
   * may lag behind the push server.
   */
  private static final long REMOVAL_HOLD_US = 6_000_000;

  final Question key;
  private State state = State.UNKNOWN;

  /** The records; of equal records, the last one received, which has the current TTL. */
  private final Set<Record> records = new LinkedHashSet<>();

  /** Those of the records that the current push session has sent. */
  private final Set<Record> confirmed = new HashSet<>();

  /** Records whose removal was pushed, and when, from the oldest to the newest. */
  private final Map<Record, Long> removals = new LinkedHashMap<>();

  private boolean subscribed;

  /** True once an answer to a query, possibly a negative one, has been received. */
  private boolean queried;

  /** True once a complete and authoritative answer, possibly a negative one, has been received. */
  private boolean listed;

  /** Sequence number of the last doubt. */
  private long doubtedAt;

  /** Sequence number of the last query. */
  long askedAt;

  /** Time of the last query. */
  long askedUs = Long.MIN_VALUE / 2;

  /** True while a query is in flight. */
  boolean querying;

  /** Failed queries since the last usable answer. */
  int failures;

  /** Timer of the next query, and when it is due. */
  TimingWheel.Handle<RecordSet> timer;

  long dueUs = TimingWheel.NEVER;

  private long ttlUs;
  private long expiresUs;

  /**
   * Instances whose claims depend on this set. A set without dependents is evicted, unless it is a
   * PTR set.
   */
  final Set<ServiceInstance> dependents = new LinkedHashSet<>();

  RecordSet(Question key) {
    this.key = key;
  }

  State state() {
    return state;
  }

  /** Returns a read-only view of the records. */
  Collection<Record> records() {
    return Collections.unmodifiableSet(records);
  }

  /** Returns true once an answer, possibly a negative one, or a push has been received. */
  boolean isAnswered() {
    return state != State.UNKNOWN;
  }

  /** Returns true once a complete and authoritative answer has been received. */
  boolean isListed() {
    return listed;
  }

  /** Returns true if it is known that no such record exists. */
  boolean isNegative() {
    return isAnswered() && records.isEmpty();
  }

  /** Returns true if the set is a list of instances. */
  boolean isInstanceList() {
    return key.type() == Type.PTR;
  }

  long ttlUs() {
    return ttlUs;
  }

  /** Returns when the records expire unless they are renewed. */
  long expiresUs() {
    return expiresUs;
  }

  /** Returns true if the answer to the last query was asked for before the last doubt arose. */
  boolean isOutdated(long queryAskedAt) {
    return queryAskedAt < doubtedAt;
  }

  /** Returns when an answer may restore a record whose removal was pushed. */
  long removalsHeldUntilUs(Collection<Record> answered) {
    return answered.stream()
        .filter(removals::containsKey)
        .mapToLong(record -> removals.get(record) + REMOVAL_HOLD_US)
        .min()
        .orElse(0);
  }

  // ---- transitions

  /**
   * Takes an answer. Evidence of absence is a complete answer to a query that was sent after the
   * last doubt; a record that the push session has confirmed stays until its removal is pushed.
   */
  Change onAnswer(RecordSetAnswer answer, long nowUs) {
    if (state == State.FOLLOWED) {
      return Change.NONE;
    }
    forgetOldRemovals(nowUs);
    boolean current = !isOutdated(answer.askedAt());
    boolean holdsRemoval = answer.records().stream().anyMatch(removals::containsKey);
    List<Record> removed = current && answer.complete() ? removeUnlisted(answer) : List.of();
    List<Record> added = new ArrayList<>();
    for (Record record : answer.records()) {
      if (!removals.containsKey(record) && put(record)) {
        added.add(record);
      }
    }
    ttlUs = answer.ttlUs();
    expiresUs = nowUs + ttlUs;
    queried = true;
    listed |= answer.complete() && answer.authoritative();
    boolean settles = current && !holdsRemoval && (answer.complete() || state == State.UNKNOWN);
    state = settles ? State.CACHED : State.IN_DOUBT;
    followIfConfirmed();
    return new Change(added, removed);
  }

  private List<Record> removeUnlisted(RecordSetAnswer answer) {
    Set<Record> listedRecords = new HashSet<>(answer.records());
    List<Record> removed = new ArrayList<>();
    for (Record record : List.copyOf(records)) {
      if (!listedRecords.contains(record) && !confirmed.contains(record)) {
        records.remove(record);
        removed.add(record);
      }
    }
    return removed;
  }

  /** Adds or renews a record; returns true if it was not held before. */
  private boolean put(Record record) {
    boolean held = records.remove(record);
    records.add(record);
    return !held;
  }

  /** Takes a pushed record that was added, is sent first, or has a new TTL. */
  Change onPushAdded(Record record, long sequence, long nowUs) {
    boolean isNew = put(record);
    confirmed.add(record);
    removals.remove(record);
    long recordTtlUs = ResponseRecords.ttlUs(List.of(record));
    ttlUs = ttlUs == 0 || records.size() == 1 ? recordTtlUs : Math.min(ttlUs, recordTtlUs);
    if (state == State.UNKNOWN) {
      doubt(sequence);
      state = State.IN_DOUBT;
    }
    if (state != State.FOLLOWED) {
      expiresUs = Math.max(expiresUs, nowUs + ttlUs);
    }
    followIfConfirmed();
    return isNew ? new Change(List.of(record), List.of()) : Change.NONE;
  }

  /**
   * Takes the pushed removal of a record, or of the complete set if it is null. A query that is in
   * flight may have been answered before the removal.
   */
  Change onPushRemoved(Record record, long sequence, long nowUs) {
    List<Record> removed = new ArrayList<>();
    for (Record gone : record == null ? List.copyOf(records) : List.of(record)) {
      removals.remove(gone);
      removals.put(gone, nowUs);
      confirmed.remove(gone);
      if (records.remove(gone)) {
        removed.add(gone);
      }
    }
    forgetOldRemovals(nowUs);
    if (record == null) {
      doubt(sequence);
    }
    followIfConfirmed();
    return new Change(List.of(), removed);
  }

  private void forgetOldRemovals(long nowUs) {
    removals.values().removeIf(removedUs -> nowUs - removedUs >= REMOVAL_HOLD_US);
  }

  /** Handles the start of a subscription: what changed before it may have been missed. */
  void onSubscribed(long sequence) {
    subscribed = true;
    confirmed.clear();
    doubt(sequence);
  }

  /** Handles the end of a subscription: changes that were sent last may have been lost. */
  void onSubscriptionEnded(long sequence, long nowUs) {
    subscribed = false;
    confirmed.clear();
    if (state == State.FOLLOWED) {
      state = State.IN_DOUBT;
      expiresUs = nowUs + ttlUs;
    }
    doubt(sequence);
  }

  /** Handles the news that the zone, or the list of endpoints, may have changed. */
  void onChangeSuspected(long sequence) {
    doubt(sequence);
  }

  /** Raises a doubt, unless the push session reports the set's changes. */
  private void doubt(long sequence) {
    doubtedAt = state == State.FOLLOWED ? doubtedAt : sequence;
    if (state == State.CACHED) {
      state = State.IN_DOUBT;
    }
  }

  /**
   * Ends a doubt without a query once the push session has sent every record that is held. An empty
   * list of instances is always polled, since nothing shows that the session reports its changes.
   */
  private void followIfConfirmed() {
    boolean known = state == State.CACHED || (state == State.IN_DOUBT && !records.isEmpty());
    boolean mayFollow = !(records.isEmpty() && isInstanceList());
    boolean isConfirmed = confirmed.size() == records.size();
    if (known && subscribed && queried && mayFollow && isConfirmed) {
      state = State.FOLLOWED;
      expiresUs = TimingWheel.NEVER;
    }
  }
}
