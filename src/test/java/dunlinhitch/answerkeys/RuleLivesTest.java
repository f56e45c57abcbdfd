package dunlinhitch.answerkeys;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.answerkeys.Rule.Life;
import dunlinhitch.cluster.ReplicatedEntry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RuleLivesTest {
  private static final Rule RULE = RuleSetTest.rule("case", new Rewrite.FoldCase());
  private static final RuleSet RULES = new RuleSet(List.of(RuleSetTest.SEARCH), List.of(RULE));
  private static final KeySettings S =
      new KeySettings(2, 10, 2, 2, 2, 0.05, 250_000, 1_000_000, 10_000_000, 1 << 20, 16, 16, 4);
  private static final long NOW = 100_000_000;

  private static RuleLives lives(String self) {
    return new RuleLives(RULES, S, self);
  }

  private static ReplicatedEntry<Life, Evidence> says(
      String author, long at, long equal, boolean suspect, String withdrawn) {
    return new ReplicatedEntry<>(
        RULE.life(),
        author,
        at,
        new Evidence(2, equal, Set.of(1, 2), Set.of("phone", "hall"), suspect, withdrawn));
  }

  private static void work(RuleLives lives, long from, int pairs) {
    lives.seen(from, RULE);
    lives.seen(from, RULE);
    for (int i = 0; i < pairs; i++) {
      lives.equal(from + i, RULE, i % 3, Set.of("phone", "hall"));
    }
    lives.passed(from + 1_000_000);
  }

  @Test
  void trustNeedsPairsOfSeveralBrokersAndIsLostByOneWord() {
    RuleLives lives = lives("n0");
    assertEquals(RuleState.PROPOSED, lives.state(RULE));
    work(lives, NOW, 50);
    assertEquals(RuleState.TRIED, lives.state(RULE)); // its own are worth half of what is wanted
    lives.heard(NOW + 1_000_001, says("n1", NOW, 5, false, ""));
    assertEquals(RuleState.TRUSTED, lives.state(RULE));
    lives.heard(NOW + 1_000_002, says("n2", NOW, 0, true, ""));
    assertEquals(RuleState.SUSPECT, lives.state(RULE));
    lives.heard(NOW + 1_000_003, says("n2", NOW + 1, 0, false, ""));
    assertEquals(RuleState.TRUSTED, lives.state(RULE));
    lives.heard(NOW + 1_000_004, says("n2", NOW + 2, 0, false, "unlike"));
    assertEquals(RuleState.WITHDRAWN, lives.state(RULE));
    RuleLives anew =
        new RuleLives(
            new RuleSet(
                List.of(RuleSetTest.SEARCH),
                List.of(new Rule("case", "search", 2, RULE.rewrites(), "f:7"))),
            S,
            "n0");
    lives.facts().all().forEach(fact -> anew.heard(NOW + 1_000_005, fact));
    assertEquals(RuleState.PROPOSED, anew.shown().get(0).state()); // of the epoch before
  }

  @Test
  void aSuspicionThatNothingClearsIsAWithdrawal() {
    RuleLives lives = lives("n0");
    lives.suspect(NOW, RULE);
    lives.passed(NOW + S.suspectUs() - 1);
    assertEquals(RuleState.SUSPECT, lives.state(RULE));
    lives.passed(NOW + S.suspectUs());
    assertEquals(RuleState.WITHDRAWN, lives.state(RULE));
  }

  /** A broker that is started anew goes on from what the others hold of it. */
  @Test
  void itsOwnEarlierWordIsTakenUp() {
    RuleLives lives = lives("n1");
    lives.heard(NOW, says("n1", NOW - 5, 5, true, ""));
    lives.passed(NOW + 1);
    work(lives, NOW + 2, 1);
    assertEquals(6, lives.facts().of(RULE.life(), "n1").value().equal());
    assertEquals(RuleState.TRIED, lives.state(RULE)); // the suspicion was of its life before
  }

  @Property(tries = 200)
  void heardInAnyOrderTheSameIsBelieved(@ForAll long seed) {
    Random random = new Random(seed);
    List<ReplicatedEntry<Life, Evidence>> told = new ArrayList<>();
    for (int i = 0; i < 12; i++) { // a broker's word of one moment is one word
      long at = NOW - 100 + i;
      told.add(
          says(
              "n" + random.nextInt(4),
              at,
              random.nextInt(8),
              random.nextInt(6) == 0,
              random.nextInt(20) == 0 ? "unlike" : ""));
    }
    RuleLives one = lives("a");
    told.forEach(fact -> one.heard(NOW, fact));
    List<ReplicatedEntry<Life, Evidence>> again = new ArrayList<>(told);
    again.addAll(told.subList(0, 6));
    Collections.shuffle(again, random);
    RuleLives other = lives("b");
    again.forEach(fact -> other.heard(NOW, fact));
    assertEquals(one.state(RULE), other.state(RULE));
  }

  /**
   * Three brokers, words late, doubled and lost, one that ends after its withdrawal, and time
   * beyond the life of any word.
   */
  @Property(tries = 200)
  void noTrustComesAfterAWithdrawalOfTheEpoch(@ForAll long seed) {
    Random random = new Random(seed);
    List<RuleLives> fleet = List.of(lives("n0"), lives("n1"), lives("n2"));
    List<ReplicatedEntry<Life, Evidence>> words = new ArrayList<>();
    boolean[] knows = new boolean[3];
    long now = NOW;
    for (int step = 0; step < 150; step++) {
      now += random.nextInt(random.nextInt(10) == 0 ? 6_000_000 : 50_000);
      int at = random.nextInt(knows[2] ? 2 : 3); // the third ends once it has withdrawn
      RuleLives lives = fleet.get(at);
      switch (random.nextInt(8)) {
        case 0 -> work(lives, now, 6);
        case 1 -> lives.passed(now);
        case 2 -> {
          if (at == 2 && step > 50) {
            lives.withdraw(now, RULE, "unlike");
          }
        }
        default -> {
          words.addAll(lives.facts().all());
          if (!words.isEmpty()) {
            ReplicatedEntry<Life, Evidence> word = words.get(random.nextInt(words.size()));
            lives.heard(now, word);
            knows[at] |= !word.value().withdrawn().isEmpty();
          }
        }
      }
      knows[at] |= lives.state(RULE) == RuleState.WITHDRAWN;
      if (knows[at]) {
        assertEquals(RuleState.WITHDRAWN, lives.state(RULE));
      }
    }
  }
}
