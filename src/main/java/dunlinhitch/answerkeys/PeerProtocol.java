package dunlinhitch.answerkeys;

/**
 * The protocol between the brokers of a cluster. The owner of a key does not fetch answers for
 * other brokers. It grants a lease to the first broker that requests the answer. The broker with
 * the lease fetches the answer and reports it to the owner. The other brokers wait for the report.
 */
final class PeerProtocol {
  private final RuleSet rules;
  private final KeyFactory keys;
  private final AnswerCache answers;
  private final FetchTable table;
  private final RequestCoalescer coalescer;
  private final ActionBuffer output;

  PeerProtocol(
      RuleSet rules,
      KeyFactory keys,
      AnswerCache answers,
      FetchTable table,
      RequestCoalescer coalescer,
      ActionBuffer output) {
    this.rules = rules;
    this.keys = keys;
    this.answers = answers;
    this.table = table;
    this.coalescer = coalescer;
    this.output = output;
  }

  /** Handles a request that a peer sent to this broker as the owner of the key. */
  void onRequest(
      long nowUs, String peer, long fetchId, AnswerKey peerKey, PartQuery part, long deadlineUs) {
    if (!keys.isShareable(part)
        || !keys.keyFor(part).withGeneration(0).equals(peerKey.withGeneration(0))) {
      // The peer applies different rules. Until the rules of both have converged, each broker
      // fetches its own answers.
      output.add(new Action.ReplyToPeer(peer, fetchId, peerKey, Action.OwnerReply.NONE, null));
      return;
    }
    keys.recordGeneration(peerKey.shard(), peerKey.generation());
    AnswerKey key = keys.keyFor(part);
    CachedAnswer cached = answers.lookup(nowUs, key);
    if (cached != null) {
      output.add(new Action.ReplyToPeer(peer, fetchId, key, Action.OwnerReply.ANSWER, cached));
      return;
    }
    InFlightFetch current = table.byKey(key);
    // A fetch without a leader waits for a reply from a broker that this broker considers the
    // owner. The peer considers this broker the owner, because the two have different member lists.
    if (coalescer.isFull(current) || (current != null && current.leader == null)) {
      output.add(new Action.ReplyToPeer(peer, fetchId, key, Action.OwnerReply.NONE, null));
      return;
    }
    long waitUs = rules.classPolicy(peerKey.queryClass()).ownerWaitUs();
    join(
        nowUs, current, key, new Waiter(peer, fetchId, part, Math.min(deadlineUs, nowUs + waitUs)));
  }

  private void join(long nowUs, InFlightFetch current, AnswerKey key, Waiter waiter) {
    if (current == null) {
      InFlightFetch fetch = table.open(key);
      table.join(fetch, waiter);
      coalescer.electLeader(nowUs, fetch);
      return;
    }
    boolean duplicate =
        current.waiters.stream().anyMatch(other -> other.isPeerFetch(waiter.peer, waiter.id));
    if (!duplicate) {
      table.join(current, waiter);
    }
  }

  /** Handles the reply of an owner to a request that this broker sent. */
  void onReply(
      long nowUs,
      String owner,
      long fetchId,
      AnswerKey ownerKey,
      Action.OwnerReply reply,
      CachedAnswer cached) {
    InFlightFetch fetch = table.byId(fetchId);
    boolean expected = fetch != null && owner.equals(fetch.owner);
    boolean awaited = expected && fetch.leader == null;
    if (reply == Action.OwnerReply.ANSWER
        && cached != null
        && acceptAnswer(nowUs, awaited ? fetch : null, cached)) {
      return;
    }
    if (expected) {
      fetch.ownerKey = ownerKey;
    }
    if (awaited) {
      fetch.owner = reply == Action.OwnerReply.FETCH ? owner : null;
      coalescer.electLeader(nowUs, fetch);
    } else if (reply == Action.OwnerReply.FETCH && !expected) {
      // No query of this broker waits for the answer any more. Returns the lease, so that the owner
      // can grant it to the next waiter.
      output.add(new Action.ReportToOwner(owner, ownerKey, null));
    }
  }

  /**
   * Caches an answer received from an owner.
   *
   * @param awaiting the fetch that waits for the answer, or null
   * @return true if the answer completed that fetch
   */
  private boolean acceptAnswer(long nowUs, InFlightFetch awaiting, CachedAnswer cached) {
    if (!keys.isShareable(cached.fetchedFor())) {
      return false;
    }
    CachedAnswer adjusted = notAhead(nowUs, cached);
    boolean shareable = answers.offer(nowUs, adjusted, awaiting == null ? null : awaiting.key);
    if (!shareable || awaiting == null) {
      return false;
    }
    coalescer.complete(awaiting, adjusted, AnswerKeyCounter.FROM_HOME);
    return true;
  }

  /**
   * Handles a report that a peer sent to this broker as the owner of the key; {@code cached} is
   * null if the peer's fetch had no result.
   */
  void onReport(long nowUs, String peer, AnswerKey key, CachedAnswer cached) {
    CachedAnswer adjusted = cached == null ? null : notAhead(nowUs, cached);
    boolean shareable =
        adjusted != null
            && keys.isShareable(adjusted.fetchedFor())
            && answers.offer(nowUs, adjusted, key);
    InFlightFetch fetch = table.byKey(key);
    if (fetch == null || fetch.leader == null || !peer.equals(fetch.leader.peer)) {
      return;
    }
    table.remove(fetch, fetch.leader);
    if (cached == null) {
      coalescer.electLeader(nowUs, fetch);
    } else {
      coalescer.complete(fetch, shareable ? adjusted : null, AnswerKeyCounter.FROM_HOME);
    }
  }

  /**
   * Replaces a request time that is in the future, because the clock of the peer is ahead, by the
   * current time. Otherwise the answer could be reused beyond its maximum age.
   */
  private static CachedAnswer notAhead(long nowUs, CachedAnswer cached) {
    return cached.requestedUs() <= nowUs
        ? cached
        : new CachedAnswer(cached.answer(), cached.fetchedFor(), nowUs);
  }
}
