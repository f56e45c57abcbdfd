package dunlinhitch.answerkeys;

import dunlinhitch.cluster.ReplicatedEntry;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Decides which parts of queries share an answer. Each key has at most one fetch at a time in this
 * broker, and one owner in the cluster. The answer is reused for a short time. The rules and the
 * bounds are documented in docs/answer-keys.md.
 *
 * <p>Pure: the input is events, the output is actions, and there is no I/O, clock or thread. Not
 * thread-safe; must be used by one thread. All times are microseconds of the wall clock, which is
 * the same at all brokers except for clock skew. Each event method returns the actions to perform,
 * in order.
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
   * @param random the random number generator that selects requests as trials; a trial is sent to a
   *     store to test the trusted rules
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
   * Handles a change of the members of the cluster. Called when the cluster has converged; {@code
   * names} is empty if this broker is in no cluster.
   */
  public List<Action> updateMembers(long nowUs, Collection<String> names) {
    coalescer.updateMembers(nowUs, names);
    return drain(nowUs);
  }

  /**
   * Adds a store of the endpoint list with its start time, Unix time in milliseconds. Answers of an
   * earlier incarnation of the store are not reused.
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

  /**
   * Handles a part of a query at this broker; {@code deadlineUs} is the absolute time by which it
   * must be answered.
   */
  public List<Action> onQuery(long nowUs, long query, PartQuery part, long deadlineUs) {
    coalescer.submit(nowUs, query, part, deadlineUs);
    return drain(nowUs);
  }

  /**
   * Handles the answer to the request of an {@link Action.Fetch}. The caller answers the leader;
   * the returned actions answer the waiters.
   */
  public List<Action> onFetchSucceeded(long nowUs, long fetchId, StoreAnswer answer) {
    coalescer.succeed(nowUs, fetchId, answer);
    return drain(nowUs);
  }

  /**
   * Called when the request of an {@link Action.Fetch} has failed after the given number of
   * attempts. Makes another waiter the leader, if there is one.
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
   * Handles the answer to the request of a {@link Action.Bypass}; {@code requestedUs} is the time
   * at which the request was sent.
   */
  public List<Action> onBypassAnswered(
      long nowUs, PartQuery part, StoreAnswer answer, long requestedUs) {
    if (keys.isShareable(part)) {
      answers.offer(nowUs, new CachedAnswer(answer, part, requestedUs), null);
    }
    return drain(nowUs);
  }

  /** Handles an {@link Action.RequestFromOwner} that a peer sent to this broker. */
  public List<Action> onPeerRequest(
      long nowUs, String peer, long fetchId, AnswerKey key, PartQuery part, long deadlineUs) {
    peers.onRequest(nowUs, peer, fetchId, key, part, deadlineUs);
    return drain(nowUs);
  }

  /**
   * Handles an {@link Action.ReplyToPeer} that an owner sent to this broker.
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

  /** Handles an {@link Action.ReportToOwner} that a peer sent to this broker. */
  public List<Action> onPeerReport(long nowUs, String peer, AnswerKey key, CachedAnswer cached) {
    peers.onReport(nowUs, peer, key, cached);
    return drain(nowUs);
  }

  /** Handles the deadlines, leases and suspicion timeouts that are due. */
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

  /** The values of the counters since the start. A counter that is not in the map is 0. */
  public Map<AnswerKeyCounter, Long> counters() {
    return output.counters();
  }

  /** Two numbers: the compared pairs of answers, and the unequal pairs among them. */
  public List<Long> comparisons() {
    return List.of(comparison.compared(), comparison.unequal());
  }

  /** Applies changes of the rules, then returns the actions of the current event. */
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
