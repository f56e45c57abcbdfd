package dunlinhitch.answerkeys;

import dunlinhitch.cluster.RendezvousHash;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Request coalescing (single flight): requests with the same key wait for one fetch, which is
 * performed by one of them, the leader. If another broker owns the key, the answer is first
 * requested from that broker. If a leader fails or is cancelled, the waiter that has waited longest
 * becomes the new leader.
 */
final class RequestCoalescer {
  private final RuleSet rules;
  private final AnswerKeySettings settings;
  private final String self;
  private final KeyFactory keys;
  private final AnswerCache answers;
  private final FetchTable table;
  private final ActionBuffer output;
  private Set<String> members = Set.of();

  RequestCoalescer(
      RuleSet rules,
      AnswerKeySettings settings,
      String self,
      KeyFactory keys,
      AnswerCache answers,
      FetchTable table,
      ActionBuffer output) {
    this.rules = rules;
    this.settings = settings;
    this.self = self;
    this.keys = keys;
    this.answers = answers;
    this.table = table;
    this.output = output;
  }

  /**
   * Updates the members. Elects a new leader for each fetch that waits for a broker that is no
   * longer a member.
   */
  void updateMembers(long nowUs, Collection<String> names) {
    members = new TreeSet<>(names);
    for (InFlightFetch fetch : table.all()) {
      if (fetch.leader == null && !members.contains(fetch.owner)) {
        fetch.owner = null;
        electLeader(nowUs, fetch);
      } else if (fetch.leader != null
          && !fetch.leader.isLocal()
          && !members.contains(fetch.leader.peer)) {
        table.remove(fetch, fetch.leader);
        electLeader(nowUs, fetch);
      }
    }
  }

  /**
   * Answers a query from the cache, lets it bypass coalescing, or adds it to a fetch as a waiter or
   * the leader.
   */
  void submit(long nowUs, long query, PartQuery part, long deadlineUs) {
    if (table.byQuery(query) != null) {
      throw new IllegalArgumentException("query " + query + " is already waiting");
    }
    if (!keys.isShareable(part) || nowUs >= deadlineUs) {
      output.bypass(query, AnswerKeyCounter.NOT_SHARED);
      return;
    }
    AnswerKey key = keys.keyFor(part);
    if (answers.isUncacheable(nowUs, key)) {
      output.bypass(query, AnswerKeyCounter.NOT_SHARED);
      return;
    }
    CachedAnswer cached = answers.lookup(nowUs, key);
    if (cached == null) {
      coalesce(nowUs, key, new Waiter(null, query, part, deadlineUs));
    } else if (answers.selectsTrial(part, cached.fetchedFor())) {
      output.bypass(query, AnswerKeyCounter.TRIALS);
    } else {
      output.count(AnswerKeyCounter.REUSED);
      output.add(new Action.Respond(query, cached));
    }
  }

  private void coalesce(long nowUs, AnswerKey key, Waiter waiter) {
    InFlightFetch current = table.byKey(key);
    if (isFull(current)) {
      output.bypass(waiter.id, AnswerKeyCounter.NOT_SHARED);
      return;
    }
    if (current == null) {
      InFlightFetch fetch = table.open(key);
      table.join(fetch, waiter);
      start(nowUs, fetch, waiter);
      return;
    }
    if (current.leader != null) {
      waiter.trialDecided = true;
      if (answers.selectsTrial(waiter.part, current.startedFor)) {
        output.bypass(waiter.id, AnswerKeyCounter.TRIALS);
        return;
      }
    }
    table.join(current, waiter);
  }

  /**
   * Whether the fetch has the maximum number of waiters or, if {@code fetch} is null, whether the
   * maximum number of fetches is in flight.
   */
  boolean isFull(InFlightFetch fetch) {
    return fetch == null
        ? table.size() >= settings.limits().fetches()
        : fetch.waiters.size() >= settings.limits().waiters();
  }

  private void start(long nowUs, InFlightFetch fetch, Waiter first) {
    long waitUs = rules.classPolicy(fetch.key.queryClass()).ownerWaitUs();
    String owner = RendezvousHash.first(members, fetch.key.ownershipComponents());
    if (owner == null || owner.equals(self) || !members.contains(self) || waitUs == 0) {
      electLeader(nowUs, fetch);
      return;
    }
    fetch.owner = owner;
    fetch.ownerKey = fetch.key;
    fetch.ownerDeadlineUs = Math.min(nowUs + waitUs, first.deadlineUs);
    table.schedule(fetch.ownerDeadlineUs, fetch);
    output.add(
        new Action.RequestFromOwner(owner, fetch.id, fetch.key, first.part, fetch.ownerDeadlineUs));
  }

  /** Handles the success of the leader's request to a store. The caller answers the leader. */
  void succeed(long nowUs, long fetchId, StoreAnswer answer) {
    InFlightFetch fetch = table.byId(fetchId);
    if (fetch == null || !fetch.isLedLocally()) {
      // No query waits for the answer any more.
      return;
    }
    CachedAnswer cached = new CachedAnswer(answer, fetch.startedFor, fetch.startedUs);
    table.remove(fetch, fetch.leader);
    boolean shareable = answers.offer(nowUs, cached, fetch.key);
    complete(fetch, shareable ? cached : null, AnswerKeyCounter.JOINED);
    if (fetch.owner != null) {
      // An answer that is not shareable is reported too, so that the waiters at the owner do not
      // wait for it until their deadlines.
      output.add(new Action.ReportToOwner(fetch.owner, fetch.ownerKey, cached.forPeers()));
    }
  }

  /** Handles the failure of the leader's request. The failed attempts count for all waiters. */
  void fail(long nowUs, long fetchId, int attempts) {
    InFlightFetch fetch = table.byId(fetchId);
    if (fetch == null || !fetch.isLedLocally()) {
      return;
    }
    table.remove(fetch, fetch.leader);
    for (Waiter waiter : List.copyOf(fetch.waiters)) {
      waiter.attemptsUsed += attempts;
      if (waiter.isLocal() && waiter.attemptsUsed >= settings.limits().attempts()) {
        table.remove(fetch, waiter);
        failQuery(waiter, Action.FailureReason.ATTEMPTS_EXHAUSTED);
      }
    }
    electLeader(nowUs, fetch);
  }

  private void failQuery(Waiter waiter, Action.FailureReason reason) {
    output.count(AnswerKeyCounter.ENDED);
    output.add(new Action.Fail(waiter.id, reason));
  }

  /** Handles the cancellation of a query. */
  void cancel(long nowUs, long query) {
    InFlightFetch fetch = table.byQuery(query);
    if (fetch == null) {
      return;
    }
    Waiter waiter =
        fetch.waiters.stream()
            .filter(candidate -> candidate.isLocalQuery(query))
            .findFirst()
            .orElseThrow();
    boolean wasLeader = fetch.leader == waiter;
    table.remove(fetch, waiter);
    if (wasLeader) {
      replaceCancelledLeader(nowUs, fetch);
    } else if (fetch.waiters.isEmpty()) {
      electLeader(nowUs, fetch);
    }
  }

  /** Handles the deadlines, leases and owner timeouts that have passed. */
  void expire(long nowUs) {
    InFlightFetch fetch = table.pollDue(nowUs);
    while (fetch != null) {
      expire(nowUs, fetch);
      fetch = table.pollDue(nowUs);
    }
  }

  private void expire(long nowUs, InFlightFetch fetch) {
    boolean hadLeader = fetch.leader != null;
    for (Waiter waiter : List.copyOf(fetch.waiters)) {
      boolean leased = waiter == fetch.leader && !waiter.isLocal();
      if (nowUs >= (leased ? fetch.leaseUntilUs : waiter.deadlineUs)) {
        table.remove(fetch, waiter);
        if (waiter.isLocal()) {
          failQuery(waiter, Action.FailureReason.DEADLINE_EXCEEDED);
        }
      }
    }
    if ((hadLeader && fetch.leader == null) || fetch.waiters.isEmpty()) {
      electLeader(nowUs, fetch);
    } else if (fetch.leader == null && nowUs >= fetch.ownerDeadlineUs) {
      output.count(AnswerKeyCounter.HOME_LATE);
      // fetch.owner stays set, so that the owner still gets the result.
      electLeader(nowUs, fetch);
    }
  }

  /**
   * Replaces a leader that was cancelled while its request is in flight. The first waiter with an
   * identical part becomes the leader and adopts the request. If there is no such waiter, the
   * request is cancelled: its answer would be valid for the other waiters only under rules that may
   * be withdrawn before the answer arrives.
   */
  private void replaceCancelledLeader(long nowUs, InFlightFetch fetch) {
    Waiter successor =
        fetch.waiters.stream()
            .filter(waiter -> waiter.isLocal() && waiter.part.sameAs(fetch.startedFor))
            .findFirst()
            .orElse(null);
    if (successor == null) {
      output.add(new Action.CancelFetch(fetch.id));
      electLeader(nowUs, fetch);
    } else {
      promote(nowUs, fetch, successor, true);
    }
  }

  /** Makes the waiter that has waited longest the leader, or closes the fetch if there is none. */
  void electLeader(long nowUs, InFlightFetch fetch) {
    if (!fetch.waiters.isEmpty()) {
      promote(nowUs, fetch, fetch.waiters.get(0), false);
      return;
    }
    table.close(fetch);
    if (fetch.owner != null && fetch.startedFor != null) {
      output.add(new Action.ReportToOwner(fetch.owner, fetch.ownerKey, null));
    }
  }

  private void promote(long nowUs, InFlightFetch fetch, Waiter leader, boolean adoptsRequest) {
    fetch.leader = leader;
    output.count(fetch.startedFor != null ? AnswerKeyCounter.PASSED_ON : AnswerKeyCounter.LED);
    if (!adoptsRequest) {
      fetch.startedUs = nowUs;
      fetch.startedFor = leader.part;
    }
    if (leader.isLocal()) {
      output.add(new Action.Fetch(fetch.id, leader.id, leader.attemptsUsed, adoptsRequest));
      return;
    }
    fetch.leaseUntilUs = nowUs + rules.classPolicy(fetch.key.queryClass()).ownerWaitUs();
    table.schedule(fetch.leaseUntilUs, fetch);
    output.add(
        new Action.ReplyToPeer(leader.peer, leader.id, fetch.key, Action.OwnerReply.FETCH, null));
  }

  /**
   * Closes the fetch. Each waiter gets the answer, or bypasses coalescing if it may not share the
   * answer.
   *
   * @param cached null if the answer may not be shared
   * @param source the counter to increment for each answered waiter
   */
  void complete(InFlightFetch fetch, CachedAnswer cached, AnswerKeyCounter source) {
    table.close(fetch);
    for (Waiter waiter : List.copyOf(fetch.waiters)) {
      table.remove(fetch, waiter);
      if (!waiter.isLocal()) {
        Action.OwnerReply reply =
            cached == null ? Action.OwnerReply.NONE : Action.OwnerReply.ANSWER;
        output.add(new Action.ReplyToPeer(waiter.peer, waiter.id, fetch.key, reply, cached));
      } else if (cached == null || !answers.matches(waiter.part, cached)) {
        output.bypass(waiter.id, AnswerKeyCounter.NOT_SHARED);
      } else if (!waiter.trialDecided && answers.selectsTrial(waiter.part, cached.fetchedFor())) {
        output.bypass(waiter.id, AnswerKeyCounter.TRIALS);
      } else {
        output.count(source);
        output.add(new Action.Respond(waiter.id, cached));
      }
    }
  }

  /**
   * Removes each waiter, other than a leader, whose key is based on rules that no longer apply. A
   * removed query bypasses coalescing, and a removed peer gets the reply {@link
   * Action.OwnerReply#NONE}.
   */
  void releaseOutdated(long nowUs) {
    for (InFlightFetch fetch : table.all()) {
      if (fetch.key.rules().equals(keys.ruleFingerprint(fetch.key.queryClass()))) {
        continue;
      }
      for (Waiter waiter : List.copyOf(fetch.waiters)) {
        if (waiter != fetch.leader) {
          release(fetch, waiter);
        }
      }
      if (fetch.waiters.isEmpty()) {
        electLeader(nowUs, fetch);
      }
    }
  }

  private void release(InFlightFetch fetch, Waiter waiter) {
    table.remove(fetch, waiter);
    if (waiter.isLocal()) {
      output.bypass(waiter.id, AnswerKeyCounter.NOT_SHARED);
    } else {
      output.add(
          new Action.ReplyToPeer(waiter.peer, waiter.id, fetch.key, Action.OwnerReply.NONE, null));
    }
  }
}
