package dunlinhitch.answerkeys;

import dunlinhitch.cluster.ReplicatedEntry;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides which parts of queries share an answer: one fetch at a time for a key in this broker,
 * answers that are reused for a short while, and one owner of a key in the cluster. The rules and
 * the bounds are in docs/answer-keys.md.
 *
 * <p>Events in, actions out; no I/O, clock or threads. Not thread-safe: one thread owns it. All
 * moments are µs of the wall clock, which brokers share but for their offsets. Each method returns
 * the actions that are to be performed, in their order.
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
   * Makes a module without stores and members.
   *
   * @param self the name of this broker in the cluster
   * @param random decides which requests are trials of trusted rules
   * @param cache where answers are cached
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

  /** The members of the cluster have converged to these; empty without a cluster. */
  public List<Action> updateMembers(long nowUs, Collection<String> names) {
    coalescer.updateMembers(nowUs, names);
    return drain(nowUs);
  }

  /**
   * The endpoint list has a store that started at that moment, in ms. Answers of an earlier
   * incarnation of it are not reused.
   */
  public void addStore(String store, long startedMs) {
    answers.addStore(store, startedMs);
  }

  /** The store has left the endpoint list, or is draining. */
  public void removeStore(String store) {
    answers.removeStore(store);
  }

  /** Evidence of another broker about a rule arrived by gossip. */
  public List<Action> mergeEvidence(long nowUs, ReplicatedEntry<RuleEpoch, Evidence> entry) {
    lifecycle.merge(nowUs, entry);
    return drain(nowUs);
  }

  /** The states of the rules and the evidence that is to be gossiped. */
  public RuleLifecycle lifecycle() {
    return lifecycle;
  }

  /** A part of a query of this broker needs an answer by the absolute deadline. */
  public List<Action> onQuery(long nowUs, long query, PartQuery part, long deadlineUs) {
    coalescer.submit(nowUs, query, part, deadlineUs);
    return drain(nowUs);
  }

  /**
   * The request of {@link Action.Fetch} succeeded. The query that led has the answer already; the
   * others get theirs by the actions.
   */
  public List<Action> onFetchSucceeded(long nowUs, long fetchId, StoreAnswer answer) {
    coalescer.succeed(nowUs, fetchId, answer);
    return drain(nowUs);
  }

  /** The request of {@link Action.Fetch} failed after that many attempts: another query leads. */
  public List<Action> onFetchFailed(long nowUs, long fetchId, int attempts) {
    coalescer.fail(nowUs, fetchId, attempts);
    return drain(nowUs);
  }

  /** The client of the query disconnected, or the broker has cancelled it. */
  public List<Action> onQueryCancelled(long nowUs, long query) {
    coalescer.cancel(nowUs, query);
    return drain(nowUs);
  }

  /** The request of {@link Action.Bypass}, sent at {@code requestedUs}, was answered. */
  public List<Action> onBypassAnswered(
      long nowUs, PartQuery part, StoreAnswer answer, long requestedUs) {
    if (keys.isShareable(part)) {
      answers.offer(nowUs, new CachedAnswer(answer, part, requestedUs), null);
    }
    return drain(nowUs);
  }

  /** {@link Action.RequestFromOwner} of a peer arrived. */
  public List<Action> onPeerRequest(
      long nowUs, String peer, long fetchId, AnswerKey key, PartQuery part, long deadlineUs) {
    peers.onRequest(nowUs, peer, fetchId, key, part, deadlineUs);
    return drain(nowUs);
  }

  /**
   * {@link Action.ReplyToPeer} of an owner arrived.
   *
   * @param key the key as the owner names it
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

  /** {@link Action.ReportToOwner} of a peer arrived. */
  public List<Action> onPeerReport(long nowUs, String peer, AnswerKey key, CachedAnswer cached) {
    peers.onReport(nowUs, peer, key, cached);
    return drain(nowUs);
  }

  /** Time has passed: deadlines, leases and suspicions that have ended are handled. */
  public List<Action> onTimer(long nowUs) {
    lifecycle.advance(nowUs);
    coalescer.expire(nowUs);
    return drain(nowUs);
  }

  /** The moment in µs at which {@link #onTimer} is to be called at the latest. */
  public long nextTimerUs(long nowUs) {
    long nextFetchTimerUs = table.nextTimerUs();
    return Math.min(lifecycle.nextTimerUs(nowUs), nextFetchTimerUs);
  }

  /** The counters since the start; one that is absent is 0. */
  public Map<AnswerKeyCounter, Long> counters() {
    return output.counters();
  }

  /** The number of pairs of answers that were compared, and of those that were not equal. */
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
