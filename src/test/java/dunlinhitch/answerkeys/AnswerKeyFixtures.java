package dunlinhitch.answerkeys;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import dunlinhitch.cluster.ReplicatedEntry;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** Modules, parts and answers that the tests of this package share. */
final class AnswerKeyFixtures {
  static final AnswerKeySettings SETTINGS = settings(1e-9);
  static final ClassCachePolicy BOOKING =
      new ClassCachePolicy("booking", List.of(), false, 1_000_000, 0, 1_500_000, "f:2");
  static final Rule CASE = RuleSetTest.rule("case", new Rewrite.FoldCase());
  static final long NOW = 100_000_000;
  static final long DEADLINE = NOW + 900_000;

  static AnswerKeySettings settings(double trialShare) {
    return new AnswerKeySettings(
        new AnswerKeySettings.TrustThresholds(0, 1, 1, 1, 1),
        trialShare,
        250_000,
        60_000_000,
        600_000_000,
        new AnswerKeySettings.Limits(1 << 20, 64, 64, 4));
  }

  static AnswerKeyModule module(String self, AnswerKeySettings settings, Rule... rules) {
    AnswerKeyModule module =
        new AnswerKeyModule(
            new RuleSet(List.of(RuleSetTest.SEARCH, BOOKING), List.of(rules)),
            settings,
            self,
            new SplittableRandom(1),
            new LruCache<>(1 << 20));
    module.addStore("s", 0);
    module.addStore("s2", 0);
    return module;
  }

  static AnswerKeyModule module(Rule... rules) {
    return module("n0", SETTINGS, rules);
  }

  /** Creates a module like {@link #module}, in which the rule {@code case} is trusted. */
  static AnswerKeyModule moduleTrustingCase(String self, AnswerKeySettings settings) {
    AnswerKeyModule module = module(self, settings, CASE);
    module.mergeEvidence(
        NOW,
        new ReplicatedEntry<>(
            CASE.ruleEpoch(),
            "n9",
            NOW,
            new Evidence(0, 1, Set.of(1), Set.of("phone"), false, "")));
    assertEquals(RuleState.TRUSTED, module.lifecycle().state(CASE));
    return module;
  }

  static PartQuery part(String text) {
    return new PartQuery("search", "", 3, text, Map.of("client", "phone"), "phone", false);
  }

  static AnswerKey key(String text) {
    return new AnswerKey("search", "", 3, text, Map.of("client", "phone", "language", ""), "", 0);
  }

  static StoreAnswer answer(String value) {
    return new StoreAnswer(value, "s", 0, 0, Set.of(), true, true);
  }

  static StoreAnswer answer(String value, long generation) {
    return new StoreAnswer(value, "s", 0, generation, Set.of(), true, true);
  }

  static Action.Fetch assertLeads(List<Action> actions, long query) {
    assertEquals(1, actions.size(), actions.toString());
    Action.Fetch fetch = assertInstanceOf(Action.Fetch.class, actions.get(0));
    assertEquals(query, fetch.query());
    return fetch;
  }

  static void assertResponds(String value, List<Action> actions) {
    assertEquals(1, actions.size(), actions.toString());
    assertEquals(
        value, assertInstanceOf(Action.Respond.class, actions.get(0)).cached().answer().value());
  }

  private AnswerKeyFixtures() {}
}
