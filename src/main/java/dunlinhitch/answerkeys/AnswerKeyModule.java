package dunlinhitch.answerkeys;

import dunlinhitch.cluster.ReplicatedEntry;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides which parts of queries share an answer: each key has at most one fetch at a time in this
 * broker and one owner in the cluster, and its answer is reused for a short time. The rules and the
 * bounds are documented in docs/answer-keys.md.
 *
 * <p>Events in, actions out; no I/O, clock or threads. Not thread-safe: owned by one thread. All
 * times are microseconds of the wall clock, on which brokers agree except for clock skew. Each
 * method returns the actions to perform, in their order.
 */
public final class AnswerKeyModule {
  private final RuleLifecycle lifecycle;
  private final ShadowComparison comparison;
  private final KeyFactory keys;
  private final AnswerCache answers;
  private final FetchTable table = new FetchTable();
  private final ActionBuffer output = new ActionBuffer();
  private final RequestCoalescer coalescer;
  private final PeerProtocol peers;
  private long appliedRuleChanges;

  /**
   * Creates a module without stores and members.
   *
   * @param self the name of this broker in the cluster
   * @param random selects the requests that are trials of trusted rules
   * @param cache the cache of the answers
   */
  public AnswerKeyModule(
      RuleSet rules,
      AnswerKeySettings settings,
      String self,
      RandomGenerator random,
      Cache<AnswerKey, CachedAnswer> cache) {
    lifecycle = new RuleLifecycle(rules, settings, self);
    keys = new KeyFactory(rules, lifecycle);
    comparison = new ShadowComparison(rules, lifecycle, keys, settings);
    answers = new AnswerCache(rules, settings, random, keys, comparison, output, cache);
    coalescer = new RequestCoalescer(rules, settings, self, keys, answers, table, output);
    peers = new PeerProtocol(rules, keys, answers, table, coalescer, output);
  }

  /**
   * Handles a converged change of the members of the cluster; {@code names} is empty without a
   * cluster.
   */
  public List<Action> updateMembers(long nowUs, Collection<String> names) {
    coalescer.updateMembers(nowUs, names);
    return drain(nowUs);
  }

  /**
   * Adds a store of the endpoint list with its start time in milliseconds. Answers of an earlier
   * incarnation of the store are not reused.
   */
  public void addStore(String store, long startedMs) {
    answers.addStore(store, startedMs);
  }

  /** Removes a store that has left the endpoint list or is draining. */
  public void removeStore(String store) {
    answers.removeStore(store);
  }

  /** Handles evidence of another broker about a rule, received by gossip. */
  public List<Action> mergeEvidence(long nowUs, ReplicatedEntry<RuleEpoch, Evidence> entry) {
    lifecycle.merge(nowUs, entry);
    return drain(nowUs);
  }

  /** The states of the rules and the evidence to gossip. */
  public RuleLifecycle lifecycle() {
    return lifecycle;
  }

  /** Handles a part of a query of this broker, which needs an answer by the absolute deadline. */
  public List<Action> onQuery(long nowUs, long query, PartQuery part, long deadlineUs) {
    coalescer.submit(nowUs, query, part, deadlineUs);
    return drain(nowUs);
  }

  /**
   * Handles the success of the request of {@link Action.Fetch}. The leader already has the answer;
   * the waiters get it by the returned actions.
   */
  public List<Action> onFetchSucceeded(long nowUs, long fetchId, StoreAnswer answer) {
    coalescer.succeed(nowUs, fetchId, answer);
    return drain(nowUs);
  }

  /**
   * Handles the failure of the request of {@link Action.Fetch} after the given number of attempts;
   * another query becomes the leader.
   */
  public List<Action> onFetchFailed(long nowUs, long fetchId, int attempts) {
    coalescer.fail(nowUs, fetchId, attempts);
    return drain(nowUs);
  }

  /** Handles the cancellation of a query by its client or by the broker. */
  public List<Action> onQueryCancelled(long nowUs, long query) {
    coalescer.cancel(nowUs, query);
    return drain(nowUs);
  }

  /**
   * Handles the answer to the request of {@link Action.Bypass} that was sent at {@code
   * requestedUs}.
   */
  public List<Action> onBypassAnswered(
      long nowUs, PartQuery part, StoreAnswer answer, long requestedUs) {
    if (keys.isShareable(part)) {
      answers.offer(nowUs, new CachedAnswer(answer, part, requestedUs), null);
    }
    return drain(nowUs);
  }

  /** Handles {@link Action.RequestFromOwner} of a peer. */
  public List<Action> onPeerRequest(
      long nowUs, String peer, long fetchId, AnswerKey key, PartQuery part, long deadlineUs) {
    peers.onRequest(nowUs, peer, fetchId, key, part, deadlineUs);
    return drain(nowUs);
  }

  /**
   * Handles {@link Action.ReplyToPeer} of an owner.
   *
   * @param key the key as the owner built it
   */
  public List<Action> onOwnerReply(
      long nowUs,
      String owner,
      long fetchId,
      AnswerKey key,
      Action.OwnerReply reply,
      CachedAnswer cached) {
    peers.onReply(nowUs, owner, fetchId, key, reply, cached);
    return drain(nowUs);
  }

  /** Handles {@link Action.ReportToOwner} of a peer. */
  public List<Action> onPeerReport(long nowUs, String peer, AnswerKey key, CachedAnswer cached) {
    peers.onReport(nowUs, peer, key, cached);
    return drain(nowUs);
  }

  /** Handles the deadlines, leases and suspicions that have ended. */
  public List<Action> onTimer(long nowUs) {
    lifecycle.advance(nowUs);
    coalescer.expire(nowUs);
    return drain(nowUs);
  }

  /** The time in microseconds at which {@link #onTimer} must be called at the latest. */
  public long nextTimerUs(long nowUs) {
    long nextFetchTimerUs = table.nextTimerUs();
    return Math.min(lifecycle.nextTimerUs(nowUs), nextFetchTimerUs);
  }

  /** The counters since the start; absent counters are 0. */
  public Map<AnswerKeyCounter, Long> counters() {
    return output.counters();
  }

  /** The number of compared pairs of answers, and the number of unequal ones among them. */
  public List<Long> comparisons() {
    return List.of(comparison.compared(), comparison.unequal());
  }

  /** Applies changes of the rules before it returns the actions of this event. */
  private List<Action> drain(long nowUs) {
    boolean keysChanged = answers.takeKeysChanged();
    if (keysChanged || appliedRuleChanges != lifecycle.changes()) {
      appliedRuleChanges = lifecycle.changes();
      if (lifecycle.takeDemoted()) {
        output.add(new Action.GossipNow());
      }
      coalescer.releaseOutdated(nowUs);
    }
    return output.drain();
  }
}
