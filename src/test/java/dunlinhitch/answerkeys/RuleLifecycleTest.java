package dunlinhitch.answerkeys;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.cluster.ReplicatedEntry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RuleLifecycleTest {
  private static final Rule RULE = RuleSetTest.rule("case", new Rewrite.FoldCase());
  private static final RuleSet RULES = new RuleSet(List.of(RuleSetTest.SEARCH), List.of(RULE));
  private static final AnswerKeySettings SETTINGS =
      new AnswerKeySettings(
          new AnswerKeySettings.TrustThresholds(2, 10, 2, 2, 2),
          0.05,
          250_000,
          1_000_000,
          10_000_000,
          new AnswerKeySettings.Limits(1 << 20, 16, 16, 4));
  private static final long NOW = 100_000_000;

  private static RuleLifecycle lifecycle(String self) {
    return new RuleLifecycle(RULES, SETTINGS, self);
  }

  private static ReplicatedEntry<RuleEpoch, Evidence> evidenceOf(
      String origin, long at, long equalPairs, boolean suspect, String withdrawalReason) {
    return new ReplicatedEntry<>(
        RULE.ruleEpoch(),
        origin,
        at,
        new Evidence(
            2, equalPairs, Set.of(1, 2), Set.of("phone", "hall"), suspect, withdrawalReason));
  }

  private static void compare(RuleLifecycle lifecycle, long from, int pairs) {
    lifecycle.recordProposal(from, RULE);
    lifecycle.recordProposal(from, RULE);
    for (int i = 0; i < pairs; i++) {
      lifecycle.recordEqualPair(from + i, RULE, i % 3, Set.of("phone", "hall"));
    }
    lifecycle.advance(from + 1_000_000);
  }

  @Test
  void trustNeedsPairsOfSeveralBrokersAndOneBrokerEndsIt() {
    RuleLifecycle lifecycle = lifecycle("n0");
    assertEquals(RuleState.PROPOSED, lifecycle.state(RULE));
    compare(lifecycle, NOW, 50);
    // The pairs of one broker count for at most half of the required number.
    assertEquals(RuleState.TRIED, lifecycle.state(RULE));
    lifecycle.merge(NOW + 1_000_001, evidenceOf("n1", NOW, 5, false, ""));
    assertEquals(RuleState.TRUSTED, lifecycle.state(RULE));
    lifecycle.merge(NOW + 1_000_002, evidenceOf("n2", NOW, 0, true, ""));
    assertEquals(RuleState.SUSPECT, lifecycle.state(RULE));
    lifecycle.merge(NOW + 1_000_003, evidenceOf("n2", NOW + 1, 0, false, ""));
    assertEquals(RuleState.TRUSTED, lifecycle.state(RULE));
    lifecycle.merge(NOW + 1_000_004, evidenceOf("n2", NOW + 2, 0, false, "unlike"));
    assertEquals(RuleState.WITHDRAWN, lifecycle.state(RULE));
    RuleLifecycle nextEpoch =
        new RuleLifecycle(
            new RuleSet(
                List.of(RuleSetTest.SEARCH),
                List.of(new Rule("case", "search", 2, RULE.rewrites(), "f:7"))),
            SETTINGS,
            "n0");
    lifecycle.evidence().all().forEach(entry -> nextEpoch.merge(NOW + 1_000_005, entry));
    // The merged evidence is from the previous epoch and does not count.
    assertEquals(RuleState.PROPOSED, nextEpoch.statuses().get(0).state());
  }

  @Test
  void suspicionThatIsNotClearedBecomesAWithdrawal() {
    RuleLifecycle lifecycle = lifecycle("n0");
    lifecycle.suspect(NOW, RULE);
    lifecycle.advance(NOW + SETTINGS.suspicionTimeoutUs() - 1);
    assertEquals(RuleState.SUSPECT, lifecycle.state(RULE));
    lifecycle.advance(NOW + SETTINGS.suspicionTimeoutUs());
    assertEquals(RuleState.WITHDRAWN, lifecycle.state(RULE));
  }

  /** A restarted broker continues with its earlier evidence, which other brokers have retained. */
  @Test
  void restartedBrokerResumesItsPublishedEvidence() {
    RuleLifecycle lifecycle = lifecycle("n1");
    lifecycle.merge(NOW, evidenceOf("n1", NOW - 5, 5, true, ""));
    lifecycle.advance(NOW + 1);
    compare(lifecycle, NOW + 2, 1);
    assertEquals(6, lifecycle.evidence().of(RULE.ruleEpoch(), "n1").value().equalPairs());
    // A suspicion from before the restart of the broker does not count.
    assertEquals(RuleState.TRIED, lifecycle.state(RULE));
  }

  @Property(tries = 200)
  void stateDoesNotDependOnTheOrderOfMessages(@ForAll long seed) {
    Random random = new Random(seed);
    List<ReplicatedEntry<RuleEpoch, Evidence>> entries = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      // Two entries of the same broker must not have the same timestamp.
      long at = NOW - 100 + i;
      entries.add(
          evidenceOf(
              "n" + random.nextInt(4),
              at,
              random.nextInt(8),
              random.nextInt(6) == 0,
              random.nextInt(20) == 0 ? "unlike" : ""));
    }
    RuleLifecycle inOrder = lifecycle("a");
    entries.forEach(entry -> inOrder.merge(NOW, entry));
    List<ReplicatedEntry<RuleEpoch, Evidence>> redelivered = new ArrayList<>(entries);
    redelivered.addAll(entries.subList(0, 6));
    Collections.shuffle(redelivered, random);
    RuleLifecycle shuffled = lifecycle("b");
    redelivered.forEach(entry -> shuffled.merge(NOW, entry));
    assertEquals(inOrder.state(RULE), shuffled.state(RULE));
  }

  /**
   * Three brokers exchange messages that may be delayed, duplicated or lost. One broker withdraws
   * the rule and stops. The withdrawal must persist at the others for longer than the lifetime of
   * evidence.
   */
  @Property(tries = 200)
  void noTrustAfterAWithdrawalInTheSameEpoch(@ForAll long seed) {
    Random random = new Random(seed);
    List<RuleLifecycle> brokers = List.of(lifecycle("n0"), lifecycle("n1"), lifecycle("n2"));
    List<ReplicatedEntry<RuleEpoch, Evidence>> entries = new ArrayList<>();
    boolean[] knowsWithdrawal = new boolean[3];
    long now = NOW;
    for (int step = 0; step < 150; step++) {
      now += random.nextInt(random.nextInt(10) == 0 ? 6_000_000 : 50_000);
      // The third broker stops after it has withdrawn the rule.
      int at = random.nextInt(knowsWithdrawal[2] ? 2 : 3);
      RuleLifecycle lifecycle = brokers.get(at);
      switch (random.nextInt(8)) {
        case 0 -> compare(lifecycle, now, 6);
        case 1 -> lifecycle.advance(now);
        case 2 -> {
          if (at == 2 && step > 50) {
            lifecycle.withdraw(now, RULE, "unlike");
          }
        }
        default -> {
          entries.addAll(lifecycle.evidence().all());
          if (!entries.isEmpty()) {
            ReplicatedEntry<RuleEpoch, Evidence> entry =
                entries.get(random.nextInt(entries.size()));
            lifecycle.merge(now, entry);
            knowsWithdrawal[at] |= !entry.value().withdrawalReason().isEmpty();
          }
        }
      }
      knowsWithdrawal[at] |= lifecycle.state(RULE) == RuleState.WITHDRAWN;
      if (knowsWithdrawal[at]) {
        assertEquals(RuleState.WITHDRAWN, lifecycle.state(RULE));
      }
    }
  }
}
