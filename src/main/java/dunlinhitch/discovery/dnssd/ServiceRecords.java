package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointClaim;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/**
 * State machine that discovers one service through one server (RFC 6763). Its inputs are responses
 * and pushed changes; its outputs are queries and endpoint claims. It performs no I/O and reads no
 * clock. Not thread-safe; its owner calls it on the event loop. Times are in microseconds.
 *
 * <p>Only a negative answer with the AA bit empties a record set. If a query fails or its answer
 * cannot be used, the record set is unchanged and the query is retried with backoff. {@link
 * RecordSet} states when records are current and what removes them.
 */
public final class ServiceRecords {
  /**
   * Limits of one service.
   *
   * @param maxInstances maximum number of instances that are used
   * @param maxQueriesInFlight maximum number of queries in flight
   */
  public record Limits(int maxInstances, int maxQueriesInFlight) {
    /** Default limits. */
    public static final Limits STANDARD = new Limits(4096, 32);
  }

  /**
   * One instance as the records describe it.
   *
   * @param instance the instance's label
   * @param endpoints the endpoints that its claims describe
   * @param expiresUs earliest expiry of its claims; 0 if it has none
   * @param fault why the records describe no usable endpoint; empty if they describe one
   */
  public record InstanceDescription(
      String instance, List<Endpoint> endpoints, long expiresUs, String fault) {}

  /**
   * Changes of the claims since the last update.
   *
   * @param snapshot true for the one update whose {@code claims} are the complete set of the source
   * @param claims new, changed and withdrawn claims
   */
  record ClaimUpdate(boolean snapshot, List<EndpointClaim> claims) {}

  /** Consecutive failed queries after which an answer shows that the server is reachable again. */
  private static final int UNREACHABLE_AFTER_FAILURES = 3;

  private final List<Name> browsedNames;
  private final RecordCache cache;
  private final BrowsedInstances instances;
  private final ClaimBuilder claimBuilder;
  private final RestoredClaims restoredClaims = new RestoredClaims();
  private final Map<AnswerFault, Integer> faults = new EnumMap<>(AnswerFault.class);
  private boolean snapshotEmitted;
  private int consecutiveFailures;

  /** Creates a state machine that browses {@code browsedNames}: the service, or its subtypes. */
  ServiceRecords(
      List<Name> browsedNames,
      TxtRecordParser parser,
      Limits limits,
      RandomGenerator random,
      long nowUs) {
    this.browsedNames = List.copyOf(browsedNames);
    cache = new RecordCache(limits.maxQueriesInFlight(), random, nowUs);
    instances = new BrowsedInstances(cache, limits.maxInstances(), this::count);
    claimBuilder = new ClaimBuilder(cache, parser, this::count);
    for (Name name : browsedNames) {
      cache.queryNow(cache.getOrCreate(pointersOf(name)));
    }
  }

  private static Question pointersOf(Name browsedName) {
    return new Question(browsedName, Type.PTR);
  }

  /**
   * Restores claim keys persisted by an earlier process. The claims of instances that are no longer
   * listed will be withdrawn.
   */
  void restore(Collection<String> claimKeys) {
    restoredClaims.add(claimKeys);
  }

  // ---- queries

  /** Returns the queries to send; {@link #onResponse} or {@link #onFailure} ends each of them. */
  List<Question> startQueries(long nowUs) {
    cache.advance(nowUs);
    return cache.startQueries();
  }

  /** Returns when work is next due. Each response can make further queries due at once. */
  long nextUs() {
    return Math.min(cache.nextUs(), cache.doubts().nextUs());
  }

  /** Queries all records that no push session follows, because some may have changed. */
  void refreshAll(long nowUs) {
    cache.advance(nowUs);
    cache.compareAllNow();
  }

  /** Like {@link #refreshAll}, but spread over time, for regular use. */
  void refreshAllGradually(long nowUs) {
    cache.advance(nowUs);
    cache.compareAllSoon();
  }

  /** Handles a query that ended without a usable response. */
  void onFailure(long nowUs, Question question) {
    cache.advance(nowUs);
    consecutiveFailures++;
    RecordSet set = cache.completeQuery(question);
    if (set != null) {
      cache.retryLater(set);
    }
  }

  /** Handles a complete response whose server, id, name and type match those of the query. */
  void onResponse(long nowUs, Question question, Message response) {
    cache.advance(nowUs);
    RecordSet set = cache.completeQuery(question);
    if (set == null) {
      return;
    }
    ResponseRecords found = new ResponseRecords(response);
    List<Record> answer = found.resolve(question);
    if (!isAcceptable(response, answer, set)) {
      cache.retryLater(set);
      return;
    }
    if (consecutiveFailures >= UNREACHABLE_AFTER_FAILURES) {
      cache.compareDoubtful();
    }
    consecutiveFailures = 0;
    boolean negative = isNegative(response, answer);
    long ttlUs = negative ? ResponseRecords.negativeTtlUs(response) : ResponseRecords.ttlUs(answer);
    apply(set, answerOf(response, negative ? List.of() : answer, ttlUs, set.askedAt));
    if (isAuthoritative(response) && !isTruncated(response)) {
      applyAdditional(set, found, response);
    }
  }

  /**
   * Returns true if the answer may be used. Counts an unresolved alias, a non-authoritative
   * negative answer and a truncated answer as faults. A negative answer is evidence of absence only
   * if it is authoritative and names its zone by an SOA record (RFC 2308 section 3).
   */
  private boolean isAcceptable(Message response, List<Record> answer, RecordSet set) {
    if (answer == null) {
      count(AnswerFault.UNRESOLVED_ALIAS);
      return false;
    }
    int rcode = response.getRcode();
    if (rcode != Rcode.NOERROR && rcode != Rcode.NXDOMAIN) {
      return false;
    }
    if (isTruncated(response)) {
      count(AnswerFault.TRUNCATED);
      return !answer.isEmpty();
    }
    if (isNegative(response, answer) && !isAuthoritative(response)) {
      count(AnswerFault.NOT_AUTHORITATIVE);
      return false;
    }
    boolean empties = isNegative(response, answer) && !set.records().isEmpty();
    return !empties || ResponseRecords.hasZone(response);
  }

  private static boolean isNegative(Message response, List<Record> answer) {
    return response.getRcode() == Rcode.NXDOMAIN || answer.isEmpty();
  }

  private static boolean isAuthoritative(Message response) {
    return response.getHeader().getFlag(Flags.AA);
  }

  /** Returns true if the answer does not fit into a message, not even over TCP. */
  private static boolean isTruncated(Message response) {
    return response.getHeader().getFlag(Flags.TC);
  }

  private static RecordSetAnswer answerOf(
      Message response, List<Record> records, long ttlUs, long askedAt) {
    return new RecordSetAnswer(
        records, ttlUs, !isTruncated(response), isAuthoritative(response), askedAt);
  }

  /** Applies the other record sets of an authoritative response, which saves queries for them. */
  private void applyAdditional(RecordSet answered, ResponseRecords found, Message response) {
    for (Map.Entry<Question, List<Record>> additional : found.byKey().entrySet()) {
      RecordSet set = cache.get(additional.getKey());
      if (set == null || set == answered || set.querying || set.isOutdated(answered.askedAt)) {
        continue;
      }
      List<Record> records = additional.getValue();
      long ttlUs = ResponseRecords.ttlUs(records);
      apply(set, answerOf(response, records, ttlUs, answered.askedAt));
    }
  }

  private void apply(RecordSet set, RecordSetAnswer answer) {
    RecordSet.Change change = cache.answer(set, answer);
    if (set.isInstanceList()) {
      instances.onPointers(set, change.removed(), answer.authoritative(), cache.nowUs());
    } else {
      instances.markChanged(set.dependents);
    }
  }

  private void count(AnswerFault fault) {
    faults.merge(fault, 1, Integer::sum);
  }

  /** Returns the faults counted since the last call. */
  Map<AnswerFault, Integer> drainFaults() {
    Map<AnswerFault, Integer> drained = new EnumMap<>(faults);
    faults.clear();
    return drained;
  }

  // ---- claims

  /** Returns the claims that have changed since the last call. */
  ClaimUpdate drainClaims(long nowUs) {
    cache.advance(nowUs);
    List<EndpointClaim> claims = new ArrayList<>();
    for (ServiceInstance instance : instances.drainChanged()) {
      updateClaims(instance, claims);
    }
    withdrawRestored(claims);
    boolean awaitsLists = !restoredClaims.isEmpty() && !areListsReceived();
    if (snapshotEmitted || awaitsLists || !cache.isComplete()) {
      return new ClaimUpdate(false, claims);
    }
    snapshotEmitted = true;
    restoredClaims.clear();
    List<EndpointClaim> all = new ArrayList<>();
    instances.all().forEach(instance -> all.addAll(instance.claims.values()));
    return new ClaimUpdate(true, all);
  }

  private void updateClaims(ServiceInstance instance, List<EndpointClaim> changes) {
    if (instance.isLapsing()) {
      changes.addAll(claimBuilder.lapsed(instance));
      return;
    }
    Map<String, EndpointClaim> current =
        instance.withdrawn ? Map.of() : claimBuilder.build(instance);
    if (current == null) {
      return; // A required record set is unanswered: the previous claims remain.
    }
    Set<String> previousKeys = new LinkedHashSet<>(instance.claims.keySet());
    previousKeys.addAll(restoredClaims.remove(Names.canonicalText(instance.name)));
    for (String key : previousKeys) {
      if (!current.containsKey(key)) {
        changes.add(EndpointClaim.withdrawal(key, cache.nowUs()));
      }
    }
    current.forEach(
        (key, claim) -> {
          if (!claim.equals(instance.claims.get(key))) {
            changes.add(claim);
          }
        });
    instance.claims = current;
  }

  /** Withdraws restored claims once all lists of instances have been answered. */
  private void withdrawRestored(List<EndpointClaim> changes) {
    if (restoredClaims.isEmpty()) {
      return;
    }
    if (!areListsReceived()) {
      return;
    }
    Set<String> listed = new HashSet<>();
    instances.all().forEach(instance -> listed.add(Names.canonicalText(instance.name)));
    restoredClaims.withdrawUnlisted(listed, cache.nowUs(), changes);
  }

  private boolean areListsReceived() {
    return browsedNames.stream().allMatch(name -> cache.get(pointersOf(name)).isListed());
  }

  // ---- records in doubt

  /** Returns a report on records that were in doubt, or null if there is none. */
  DoubtMonitor.Report drainDoubtReport(long nowUs) {
    cache.advance(nowUs);
    return cache.doubts().drainReport(nowUs);
  }

  // ---- push notifications (RFC 8765)

  /** Returns a version that changes whenever {@link #subscriptionKeys} does. */
  long version() {
    return cache.version();
  }

  /** Returns a live view of the names and types that a push session must subscribe to. */
  Set<Question> subscriptionKeys() {
    return cache.keys();
  }

  /** Handles the start or end of a push subscription to a record set. */
  void onSubscriptionChanged(long nowUs, Question key, boolean subscribed) {
    cache.advance(nowUs);
    RecordSet set = cache.get(key);
    if (set == null) {
      return;
    }
    if (subscribed) {
      cache.subscribed(set);
    } else {
      cache.subscriptionEnded(set);
    }
    instances.markChanged(set.dependents);
  }

  /** Handles a pushed record that was added or whose TTL was renewed. */
  void onRecordAdded(long nowUs, Record record) {
    cache.advance(nowUs);
    RecordSet set = cache.get(new Question(record.getName(), record.getType()));
    if (set == null) {
      return;
    }
    cache.pushAdded(set, record);
    if (record instanceof PTRRecord pointer) {
      instances.add(set.key.name(), pointer.getTarget());
    } else {
      instances.markChanged(set.dependents);
    }
  }

  /** Handles a pushed removal of {@code record}, or of the complete set if it is null. */
  void onRecordRemoved(long nowUs, Question key, Record record) {
    cache.advance(nowUs);
    RecordSet set = cache.get(key);
    if (set == null) {
      return;
    }
    RecordSet.Change change = cache.pushRemoved(set, record);
    if (set.isInstanceList()) {
      change.removed().forEach(gone -> instances.onPointerRemoved(key.name(), gone));
    } else {
      instances.markChanged(set.dependents);
    }
  }

  /** Returns a description of every listed instance. */
  List<InstanceDescription> describeInstances() {
    return instances.all().stream().map(ServiceRecords::describe).toList();
  }

  private static InstanceDescription describe(ServiceInstance instance) {
    Collection<EndpointClaim> claims = instance.claims.values();
    return new InstanceDescription(
        Names.instanceLabel(instance.name),
        claims.stream().map(EndpointClaim::endpoint).toList(),
        claims.stream().mapToLong(EndpointClaim::expiresUs).min().orElse(0),
        instance.fault);
  }
}
