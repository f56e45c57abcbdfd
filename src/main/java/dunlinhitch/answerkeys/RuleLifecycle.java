package dunlinhitch.answerkeys;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.cluster.ReplicatedMap;
import dunlinhitch.cluster.ReplicatedMapSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Determines the state of each rule from the evidence of all brokers. The evidence is a {@link
 * ReplicatedMap}, so that the result does not depend on the order in which messages arrive. A
 * received withdrawal is retained even if the map drops the entry because of its age or the bounds,
 * and is published again under the name of this broker. Therefore the rule does not become trusted
 * again in that epoch, even if the broker that found the unequal answers has left the cluster.
 *
 * <p>Pure: the caller passes the time. Not thread-safe; owned by {@link AnswerKeyModule}.
 */
public final class RuleLifecycle {
  /** The tolerated clock skew between brokers, in microseconds. */
  private static final long MAX_CLOCK_SKEW_US = 2_000_000;

  private static final int MAX_ENTRIES = 8192;
  private static final int MAX_ENTRIES_OF_ORIGIN = 256;

  /**
   * The minimum interval between publications of increased counts, in microseconds. A withdrawal or
   * a suspicion is published immediately.
   */
  private static final long PUBLISH_INTERVAL_US = 1_000_000;

  /**
   * The publication time of evidence that has not been published. The value can be subtracted from
   * any time without overflow.
   */
  private static final long NEVER_US = Long.MIN_VALUE / 2;

  private final RuleSet rules;
  private final AnswerKeySettings settings;
  private final String self;
  private final ReplicatedMap<RuleEpoch, Evidence> evidence;
  private final Map<RuleEpoch, Evidence> ownEvidence = new TreeMap<>();
  private final Map<RuleEpoch, Long> publishedUs = new HashMap<>();
  private final Set<RuleEpoch> unpublished = new HashSet<>();
  private final Map<RuleEpoch, Long> suspectUntilUs = new HashMap<>();
  private final Map<RuleEpoch, String> withdrawalReasons = new TreeMap<>();
  private final Map<String, RuleState> states = new HashMap<>();
  private long changes;
  private boolean demoted;
  private long appliedVersion;
  private int appliedSize;

  /**
   * Creates a lifecycle in which all rules are in the state {@link RuleState#PROPOSED}.
   *
   * @param self the name of this broker, which is the origin of the evidence that it publishes
   * @throws KeysException if there are too many rules or a threshold is too large to be gossiped
   */
  public RuleLifecycle(RuleSet rules, AnswerKeySettings settings, String self) {
    this.rules = rules;
    this.settings = settings;
    this.self = self;
    evidence =
        new ReplicatedMap<>(
            new ReplicatedMapSettings(
                settings.evidenceLifetimeUs(),
                MAX_CLOCK_SKEW_US,
                MAX_ENTRIES,
                MAX_ENTRIES_OF_ORIGIN),
            Comparator.naturalOrder());
    requireGossipable(rules, settings.trust());
    rules
        .rules()
        .forEach(
            rule -> {
              ownEvidence.put(rule.ruleEpoch(), Evidence.NONE);
              states.put(rule.name(), RuleState.PROPOSED);
            });
  }

  private static void requireGossipable(
      RuleSet rules, AnswerKeySettings.TrustThresholds thresholds) {
    if (rules.rules().size() > MAX_ENTRIES_OF_ORIGIN) {
      throw new KeysException(
          KeysException.Code.SETTING,
          "[keys]",
          rules.rules().size() + " rules are configured",
          "reduce their number to at most " + MAX_ENTRIES_OF_ORIGIN);
    }
    if (Math.max(thresholds.shards(), thresholds.clientKinds()) > Evidence.MAX_SPREAD) {
      throw new KeysException(
          KeysException.Code.SETTING,
          "[keys]",
          "the thresholds require "
              + thresholds.shards()
              + " shards and "
              + thresholds.clientKinds()
              + " client kinds",
          "require " + Evidence.MAX_SPREAD + " or fewer of each");
    }
  }

  /** The evidence of all brokers. The caller has to gossip new entries. */
  public ReplicatedMap<RuleEpoch, Evidence> evidence() {
    return evidence;
  }

  /** The current state of the rule. */
  public RuleState state(Rule rule) {
    return states.get(rule.name());
  }

  /** Incremented whenever the state of a rule changes. */
  public long changes() {
    return changes;
  }

  /**
   * Returns whether a rule has become suspect or withdrawn since the last call, because of evidence
   * from this or another broker.
   */
  boolean takeDemoted() {
    boolean wasDemoted = demoted;
    demoted = false;
    return wasDemoted;
  }

  /** Records that the rule would have changed the key of a request. */
  void recordProposal(long nowUs, Rule rule) {
    if (state(rule) == RuleState.PROPOSED) {
      Evidence updated =
          ownEvidence.get(rule.ruleEpoch()).withProposal(settings.trust().proposals());
      update(nowUs, rule, updated, false);
    }
  }

  /** Records that two answers to which the rule assigns the same key were equal. */
  void recordEqualPair(long nowUs, Rule rule, int shard, Set<String> clientKinds) {
    Evidence updated =
        ownEvidence
            .get(rule.ruleEpoch())
            .withEqualPair(settings.trust().pairs(), shard, clientKinds);
    update(nowUs, rule, updated, false);
  }

  /**
   * Marks a rule as suspect after a pair of unequal answers that a change of the data might
   * explain. The rule is not applied until the suspicion is cleared.
   */
  void suspect(long nowUs, Rule rule) {
    long untilUs = nowUs + settings.suspicionTimeoutUs();
    if (suspectUntilUs.putIfAbsent(rule.ruleEpoch(), untilUs) == null) {
      update(nowUs, rule, ownEvidence.get(rule.ruleEpoch()).withSuspicion(true), true);
    }
  }

  /** Clears the suspicion of a rule after it was determined that the data had changed. */
  void clearSuspicion(long nowUs, Rule rule) {
    if (suspectUntilUs.remove(rule.ruleEpoch()) != null) {
      update(nowUs, rule, ownEvidence.get(rule.ruleEpoch()).withSuspicion(false), true);
    }
  }

  /** Withdraws a rule that was found to be false. The rule is not applied again in this epoch. */
  void withdraw(long nowUs, Rule rule, String reason) {
    suspectUntilUs.remove(rule.ruleEpoch());
    update(nowUs, rule, ownEvidence.get(rule.ruleEpoch()).withWithdrawal(reason), true);
  }

  /** Merges evidence from another broker, or from an earlier incarnation of this broker. */
  public ReplicatedMap.MergeResult merge(long nowUs, ReplicatedEntry<RuleEpoch, Evidence> entry) {
    ReplicatedMap.MergeResult result = evidence.merge(nowUs, entry);
    RuleEpoch ruleEpoch = entry.key();
    if (result == ReplicatedMap.MergeResult.NEWS
        && entry.origin().equals(self)
        && ownEvidence.containsKey(ruleEpoch)) {
      // The unequal answers that caused a suspicion before the restart are lost, so the suspicion
      // could not be resolved.
      Evidence earlier = entry.value().withSuspicion(false);
      ownEvidence.put(ruleEpoch, ownEvidence.get(ruleEpoch).mergedWith(earlier));
      unpublished.add(ruleEpoch);
    }
    if (entry.value().isWithdrawn()) {
      // A withdrawal counts even if the map rejects the entry as expired or because of its bounds.
      retainWithdrawal(ruleEpoch, entry.value().withdrawalReason());
    }
    advance(nowUs);
    return result;
  }

  /**
   * Withdraws the rules whose suspicion has timed out, and publishes evidence again before it
   * expires.
   */
  public void advance(long nowUs) {
    for (Rule rule : rules.rules()) {
      RuleEpoch ruleEpoch = rule.ruleEpoch();
      endTimedOutSuspicion(nowUs, ruleEpoch);
      if (isPublicationDue(nowUs, ruleEpoch)) {
        publish(nowUs, ruleEpoch);
      }
    }
    evidence.expire(nowUs);
    updateStates();
  }

  private void endTimedOutSuspicion(long nowUs, RuleEpoch ruleEpoch) {
    Long untilUs = suspectUntilUs.get(ruleEpoch);
    if (untilUs != null && nowUs >= untilUs) {
      suspectUntilUs.remove(ruleEpoch);
      ownEvidence.put(
          ruleEpoch, ownEvidence.get(ruleEpoch).withWithdrawal("a suspicion that nothing cleared"));
      unpublished.add(ruleEpoch);
    }
  }

  private boolean isPublicationDue(long nowUs, RuleEpoch ruleEpoch) {
    Evidence own = ownEvidence.get(ruleEpoch);
    long sincePublishedUs = nowUs - publishedUs.getOrDefault(ruleEpoch, NEVER_US);
    boolean urgent = own.isWithdrawn() || own.suspect();
    if (unpublished.contains(ruleEpoch) && (urgent || sincePublishedUs >= PUBLISH_INTERVAL_US)) {
      return true;
    }
    return !own.equals(Evidence.NONE) && sincePublishedUs >= settings.evidenceLifetimeUs() / 2;
  }

  /** The time in microseconds at which {@link #advance} must be called at the latest. */
  public long nextTimerUs(long nowUs) {
    long nextUs = nowUs + settings.evidenceLifetimeUs() / 4;
    for (long untilUs : suspectUntilUs.values()) {
      nextUs = Math.min(nextUs, untilUs);
    }
    for (RuleEpoch ruleEpoch : unpublished) {
      long lastUs = publishedUs.getOrDefault(ruleEpoch, nowUs - PUBLISH_INTERVAL_US);
      nextUs = Math.min(nextUs, lastUs + PUBLISH_INTERVAL_US);
    }
    return nextUs;
  }

  private void update(long nowUs, Rule rule, Evidence updated, boolean atOnce) {
    RuleEpoch ruleEpoch = rule.ruleEpoch();
    if (updated.equals(ownEvidence.put(ruleEpoch, updated))) {
      return;
    }
    unpublished.add(ruleEpoch);
    if (atOnce || nowUs - publishedUs.getOrDefault(ruleEpoch, NEVER_US) >= PUBLISH_INTERVAL_US) {
      publish(nowUs, ruleEpoch);
      updateStates();
    }
  }

  private void publish(long nowUs, RuleEpoch ruleEpoch) {
    Evidence own = ownEvidence.get(ruleEpoch);
    ReplicatedEntry<RuleEpoch, Evidence> previous = evidence.of(ruleEpoch, self);
    long timestampUs = previous == null ? nowUs : Math.max(nowUs, previous.timestampUs() + 1);
    evidence.merge(nowUs, new ReplicatedEntry<>(ruleEpoch, self, timestampUs, own));
    publishedUs.put(ruleEpoch, nowUs);
    unpublished.remove(ruleEpoch);
    if (own.isWithdrawn()) {
      retainWithdrawal(ruleEpoch, own.withdrawalReason());
    }
  }

  private void retainWithdrawal(RuleEpoch ruleEpoch, String reason) {
    Evidence own = ownEvidence.get(ruleEpoch);
    if (own == null) {
      // The evidence is from another epoch, or about a rule that is not configured at this broker.
      return;
    }
    withdrawalReasons.putIfAbsent(ruleEpoch, reason);
    if (!own.isWithdrawn()) {
      ownEvidence.put(ruleEpoch, own.withWithdrawal(reason));
      unpublished.add(ruleEpoch);
    }
  }

  private void updateStates() {
    if (evidence.version() == appliedVersion && evidence.size() == appliedSize) {
      // No entry has been added or has expired since the last update.
      return;
    }
    appliedVersion = evidence.version();
    appliedSize = evidence.size();
    Map<RuleEpoch, List<ReplicatedEntry<RuleEpoch, Evidence>>> byRule = new HashMap<>();
    evidence
        .all()
        .forEach(entry -> byRule.computeIfAbsent(entry.key(), key -> new ArrayList<>()).add(entry));
    for (Rule rule : rules.rules()) {
      RuleState state =
          evaluate(rule.ruleEpoch(), byRule.getOrDefault(rule.ruleEpoch(), List.of()));
      if (states.put(rule.name(), state) != state) {
        changes++;
        demoted |= state == RuleState.SUSPECT || state == RuleState.WITHDRAWN;
      }
    }
  }

  private RuleState evaluate(
      RuleEpoch ruleEpoch, List<ReplicatedEntry<RuleEpoch, Evidence>> entries) {
    if (withdrawalReasons.containsKey(ruleEpoch)) {
      return RuleState.WITHDRAWN;
    }
    if (suspectUntilUs.containsKey(ruleEpoch)
        || entries.stream().anyMatch(entry -> entry.value().suspect())) {
      return RuleState.SUSPECT;
    }
    AnswerKeySettings.TrustThresholds thresholds = settings.trust();
    RuleStatus status = summarize(ruleEpoch, entries);
    if (status.proposals() < thresholds.proposals()) {
      return RuleState.PROPOSED;
    }
    return status.equalPairs() >= thresholds.pairs()
            && status.shards() >= thresholds.shards()
            && status.clientKinds() >= thresholds.clientKinds()
            && status.brokers() >= thresholds.brokers()
        ? RuleState.TRUSTED
        : RuleState.TRIED;
  }

  /**
   * Adds up the evidence of all brokers. If the thresholds require more than one broker, the pairs
   * of each broker count for at most half of the required number.
   */
  private RuleStatus summarize(
      RuleEpoch ruleEpoch, List<ReplicatedEntry<RuleEpoch, Evidence>> entries) {
    int requiredPairs = settings.trust().pairs();
    long maxPairsOfBroker =
        settings.trust().brokers() == 1 ? requiredPairs : (requiredPairs + 1L) / 2;
    long proposals = 0;
    long equalPairs = 0;
    int brokers = 0;
    Set<Integer> shards = new HashSet<>();
    Set<String> clientKinds = new HashSet<>();
    for (ReplicatedEntry<RuleEpoch, Evidence> entry : entries) {
      Evidence ofBroker = entry.value();
      proposals += ofBroker.proposals();
      equalPairs += Math.min(maxPairsOfBroker, ofBroker.equalPairs());
      brokers += ofBroker.equalPairs() > 0 ? 1 : 0;
      shards.addAll(ofBroker.shards());
      clientKinds.addAll(ofBroker.clientKinds());
    }
    return new RuleStatus(
        ruleEpoch,
        states.get(ruleEpoch.rule()),
        proposals,
        equalPairs,
        shards.size(),
        clientKinds.size(),
        brokers,
        withdrawalReasons.getOrDefault(ruleEpoch, ""));
  }

  /** The status of each rule for operators, in the order of the rules. */
  public List<RuleStatus> statuses() {
    return rules.rules().stream()
        .map(rule -> summarize(rule.ruleEpoch(), evidence.of(rule.ruleEpoch())))
        .toList();
  }
}
