package dunlinhitch.answerkeys;

import static dunlinhitch.answerkeys.AnswerKeyFixtures.CASE;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.DEADLINE;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.NOW;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.SETTINGS;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.answer;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.assertLeads;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.assertResponds;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.key;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.module;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.moduleTrustingCase;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.part;
import static dunlinhitch.answerkeys.AnswerKeyFixtures.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.answerkeys.Action.OwnerReply;
import dunlinhitch.cluster.ReplicatedEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class AnswerKeyModuleTest {
  @Test
  void oneFetchAnswersAllWaitersAndThenTheCacheDoes() {
    AnswerKeyModule module = module();
    long fetchId = assertLeads(module.onQuery(NOW, 1, part("a"), DEADLINE), 1).fetchId();
    assertEquals(List.of(), module.onQuery(NOW, 2, part("a"), DEADLINE));
    assertEquals(List.of(), module.onQuery(NOW, 3, part("a"), NOW + 10));
    assertEquals(
        List.of(new Action.Fail(3, Action.FailureReason.DEADLINE_EXCEEDED)),
        module.onTimer(NOW + 10));
    assertResponds("v", module.onFetchSucceeded(NOW + 50, fetchId, answer("v")));
    assertResponds("v", module.onQuery(NOW + 999_999, 4, part("a"), DEADLINE + 999_999));
    // The age of the answer is counted from its request at NOW, so the answer has expired.
    assertLeads(module.onQuery(NOW + 1_000_000, 5, part("a"), DEADLINE + 999_999), 5);
  }

  @Test
  void nextWaiterLeadsAndAttemptsCountForAll() {
    AnswerKeyModule module = module();
    long fetchId = assertLeads(module.onQuery(NOW, 1, part("a"), DEADLINE), 1).fetchId();
    module.onQuery(NOW, 2, part("a"), DEADLINE);
    module.onQuery(NOW, 3, part("a"), NOW + 100);
    assertEquals(
        List.of(new Action.Fetch(fetchId, 2, 3, false)), module.onFetchFailed(NOW + 1, fetchId, 3));
    // The request of query 2 is still in flight, so query 3 adopts it.
    assertEquals(
        List.of(new Action.Fetch(fetchId, 3, 3, true)), module.onQueryCancelled(NOW + 2, 2));
    module.onQuery(NOW + 3, 4, part("a"), DEADLINE);
    assertEquals(
        List.of(
            new Action.Fail(3, Action.FailureReason.DEADLINE_EXCEEDED),
            new Action.Fetch(fetchId, 4, 0, false)),
        module.onTimer(NOW + 100));
    assertEquals(List.of(new Action.CancelFetch(fetchId)), module.onQueryCancelled(NOW + 101, 4));
    fetchId = assertLeads(module.onQuery(NOW, 5, part("a"), DEADLINE), 5).fetchId();
    module.onQuery(NOW, 6, part("a"), DEADLINE);
    assertEquals(
        List.of(new Action.Fail(6, Action.FailureReason.ATTEMPTS_EXHAUSTED)),
        module.onFetchFailed(NOW, fetchId, 4));
  }

  /**
   * A waiter does not adopt a request for another text, even if a rule gives both texts the same
   * key.
   */
  @Test
  void requestForAnotherTextIsCancelledNotAdopted() {
    AnswerKeyModule module = moduleTrustingCase("n0", SETTINGS);
    long fetchId = assertLeads(module.onQuery(NOW, 1, part("a"), DEADLINE), 1).fetchId();
    module.onQuery(NOW, 2, part("A"), DEADLINE);
    assertEquals(
        List.of(new Action.CancelFetch(fetchId), new Action.Fetch(fetchId, 2, 0, false)),
        module.onQueryCancelled(NOW, 1));
  }

  @Test
  void unshareablePartsAndAnswersAreNotShared() {
    AnswerKeyModule module = module();
    assertEquals(
        List.of(new Action.Bypass(1)),
        module.onQuery(
            NOW, 1, new PartQuery("booking", "", 3, "a", Map.of(), "phone", false), DEADLINE));
    assertEquals(
        List.of(new Action.Bypass(1)),
        module.onQuery(
            NOW, 1, new PartQuery("search", "", 3, "a", Map.of(), "phone", true), DEADLINE));
    assertLeads(
        module.onQuery(
            NOW, 1, new PartQuery("search", "t1", 3, "a", Map.of(), "phone", false), DEADLINE),
        1);
    // Different tenants do not share answers.
    assertLeads(
        module.onQuery(
            NOW, 2, new PartQuery("search", "t2", 3, "a", Map.of(), "phone", false), DEADLINE),
        2);
    for (StoreAnswer unshareable :
        List.of(
            new StoreAnswer("v", "s", 0, 0, Set.of(), true, false),
            new StoreAnswer("v", "s", 0, 0, Set.of(), false, true),
            new StoreAnswer("v", "s", 0, 0, Set.of(StoreAnswer.VARIES_BY_ANY), true, true),
            new StoreAnswer("v", "unlisted", 0, 0, Set.of(), true, true),
            new StoreAnswer("v", "s", 7, 0, Set.of(), true, true))) {
      AnswerKeyModule fresh = module();
      long fetchId = assertLeads(fresh.onQuery(NOW, 1, part("a"), DEADLINE), 1).fetchId();
      fresh.onQuery(NOW, 2, part("a"), DEADLINE);
      assertEquals(
          List.of(new Action.Bypass(2)),
          fresh.onFetchSucceeded(NOW, fetchId, unshareable),
          unshareable.toString());
      assertTrue(
          fresh.onQuery(NOW, 3, part("a"), DEADLINE).stream()
              .noneMatch(action -> action instanceof Action.Respond),
          unshareable.toString());
    }
  }

  @Test
  void answersOfEarlierIncarnationsOrGenerationsAreNotReused() {
    AnswerKeyModule module = module();
    module.onBypassAnswered(NOW, part("a"), answer("v"), NOW);
    assertResponds("v", module.onQuery(NOW, 1, part("a"), DEADLINE));
    module.addStore("s", 5);
    assertLeads(module.onQuery(NOW, 2, part("a"), DEADLINE), 2);
    module.addStore("s", 0);
    module.onBypassAnswered(NOW, part("b"), answer("w", 3), NOW);
    module.removeStore("s");
    assertLeads(module.onQuery(NOW, 3, part("b"), DEADLINE), 3);
    module.addStore("s", 0);
    module.onBypassAnswered(NOW, part("c"), answer("x", 3), NOW);
    assertResponds("x", module.onQuery(NOW, 4, part("c"), DEADLINE));
    module.onBypassAnswered(NOW, part("d"), answer("y", 4), NOW);
    assertLeads(module.onQuery(NOW, 5, part("c"), DEADLINE), 5);
  }

  /**
   * If a store declares that its answers vary by an attribute, a rule that drops this attribute is
   * not applied.
   */
  @Test
  void attributesByWhichAStoreVariesOverrideARule() {
    Rule dropClient = RuleSetTest.rule("client", new Rewrite.DropVariant("client"));
    AnswerKeyModule module = module(dropClient);
    module.mergeEvidence(
        NOW,
        new ReplicatedEntry<>(
            dropClient.ruleEpoch(),
            "n9",
            NOW,
            new Evidence(0, 1, Set.of(1), Set.of("phone"), false, "")));
    PartQuery hallPart =
        new PartQuery("search", "", 3, "a", Map.of("client", "hall"), "hall", false);
    long fetchId = assertLeads(module.onQuery(NOW, 1, part("a"), DEADLINE), 1).fetchId();
    module.onQuery(NOW, 2, hallPart, DEADLINE);
    module.onQuery(NOW, 3, part("a"), DEADLINE);
    List<Action> actions =
        module.onFetchSucceeded(
            NOW, fetchId, new StoreAnswer("v", "s", 0, 0, Set.of("client"), true, true));
    assertEquals(new Action.Bypass(2), actions.get(0));
    assertResponds("v", actions.subList(1, 2));
    assertLeads(module.onQuery(NOW, 4, hallPart, DEADLINE), 4);
    assertResponds("v", module.onQuery(NOW, 5, part("a"), DEADLINE));
  }

  @Test
  void unequalPairOfOneGenerationWithdrawsTheRuleAndReleasesItsWaiters() {
    AnswerKeyModule module = moduleTrustingCase("n0", SETTINGS);
    long fetchId = assertLeads(module.onQuery(NOW, 1, part("a"), DEADLINE), 1).fetchId();
    module.onQuery(NOW, 2, part("A"), DEADLINE);
    module.onBypassAnswered(NOW, part("b"), answer("v", 3), NOW);
    assertResponds("v", module.onQuery(NOW, 3, part("B"), DEADLINE));
    // The answer has a later generation, so the difference may be due to a change of the data.
    module.onBypassAnswered(NOW, part("B"), answer("w", 4), NOW);
    assertEquals(RuleState.TRUSTED, module.lifecycle().state(CASE));
    List<Action> actions = module.onBypassAnswered(NOW, part("b"), answer("v", 4), NOW);
    assertEquals(RuleState.WITHDRAWN, module.lifecycle().state(CASE));
    assertEquals(List.of(new Action.GossipNow(), new Action.Bypass(2)), actions);
    assertResponds("v", module.onQuery(NOW, 4, part("b"), DEADLINE));
    // The texts "b" and "B" had equal keys only because of the rule, which is now withdrawn.
    assertLeads(module.onQuery(NOW, 5, part("B"), DEADLINE), 5);
    module.onFetchSucceeded(NOW, fetchId, answer("z", 4));
    assertLeads(module.onQuery(NOW, 6, part("A"), DEADLINE), 6);
  }

  /**
   * If a store reports no generation and two answers are unequal, the next answer for the first
   * text shows whether the data changed or the rule is false.
   */
  @Test
  void ambiguousPairIsResolvedByTheNextAnswer() {
    for (boolean falseRule : new boolean[] {true, false}) {
      AnswerKeyModule module = moduleTrustingCase("n0", SETTINGS);
      module.onBypassAnswered(NOW, part("a"), answer("v"), NOW);
      module.onBypassAnswered(NOW + 2, part("A"), answer("w"), NOW + 1);
      assertEquals(RuleState.SUSPECT, module.lifecycle().state(CASE));
      module.onBypassAnswered(NOW + 4, part("a"), answer(falseRule ? "v" : "w"), NOW + 3);
      assertEquals(
          falseRule ? RuleState.WITHDRAWN : RuleState.TRUSTED, module.lifecycle().state(CASE));
    }
  }

  @Test
  void trustedRuleIsStillSampledByTrials() {
    AnswerKeyModule module = moduleTrustingCase("n0", settings(1));
    module.onBypassAnswered(NOW, part("a"), answer("v"), NOW);
    // The answer was fetched for exactly this text. The reuse depends on no rule, so the request is
    // not selected as a trial.
    assertResponds("v", module.onQuery(NOW, 1, part("a"), DEADLINE));
    assertEquals(List.of(new Action.Bypass(2)), module.onQuery(NOW, 2, part("A"), DEADLINE));
  }

  /**
   * For any order of events, a fetch has at most one leader at a time, and each waiting query ends
   * exactly once, not later than its deadline.
   */
  @Property(tries = 300)
  void oneLeaderAtATimeAndEachQueryEndsOnce(@ForAll long seed) {
    RandomSchedule schedule = new RandomSchedule(seed);
    for (int step = 0; step < 120; step++) {
      schedule.step(step);
    }
  }

  /** Random events for one broker, with checks of the resulting actions. */
  private static final class RandomSchedule {
    private final Random random;
    private final AnswerKeyModule module = module();
    private final Map<Long, Long> deadlines = new HashMap<>();
    private final Map<Long, Long> leaders = new HashMap<>();
    private final List<Action.RequestFromOwner> ownerRequests = new ArrayList<>();
    private long nowUs = NOW;
    private long query;

    RandomSchedule(long seed) {
      random = new Random(seed);
      module.updateMembers(NOW, List.of("n0", "n1", "n2"));
    }

    void step(int step) {
      long startUs = nowUs;
      List<Long> fetches = List.copyOf(leaders.keySet());
      long fetchId = fetches.isEmpty() ? 0 : fetches.get(random.nextInt(fetches.size()));
      PartQuery part = part(String.valueOf((char) ('a' + random.nextInt(3))));
      check(randomEvent(step, fetchId, part));
      nowUs += random.nextInt(60_000);
      for (long nextUs = module.nextTimerUs(startUs);
          nextUs <= nowUs;
          nextUs = module.nextTimerUs(nextUs)) {
        check(module.onTimer(nextUs));
      }
      deadlines.forEach(
          (number, deadlineUs) ->
              assertTrue(deadlineUs > nowUs, "query " + number + " should have ended"));
    }

    private List<Action> randomEvent(int step, long fetchId, PartQuery part) {
      return switch (random.nextInt(7)) {
        case 0, 1 -> {
          long deadlineUs = nowUs + 1 + random.nextInt(300_000);
          deadlines.put(++query, deadlineUs);
          yield module.onQuery(nowUs, query, part, deadlineUs);
        }
        case 2 -> {
          deadlines.remove(leaders.remove(fetchId));
          yield module.onFetchSucceeded(nowUs, fetchId, answer("v"));
        }
        case 3 -> {
          deadlines.remove(leaders.remove(fetchId));
          yield module.onFetchFailed(nowUs, fetchId, 1);
        }
        case 4 -> {
          long cancelled = 1L + random.nextInt((int) query + 1);
          deadlines.remove(cancelled);
          leaders.values().remove(cancelled);
          yield module.onQueryCancelled(nowUs, cancelled);
        }
        case 5 -> randomPeerMessage(step, part);
        default -> randomOwnerReply();
      };
    }

    private List<Action> randomPeerMessage(int step, PartQuery part) {
      AnswerKey key = key(part.text());
      if (random.nextBoolean()) {
        return module.onPeerRequest(nowUs, "n1", step, key, part, nowUs + 50_000);
      }
      CachedAnswer cached =
          random.nextBoolean() ? null : new CachedAnswer(answer("v"), part, nowUs);
      return module.onPeerReport(nowUs, "n1", key, cached);
    }

    private List<Action> randomOwnerReply() {
      if (ownerRequests.isEmpty()) {
        return List.of();
      }
      Action.RequestFromOwner request = ownerRequests.get(random.nextInt(ownerRequests.size()));
      OwnerReply reply = List.of(OwnerReply.values()).get(random.nextInt(3));
      CachedAnswer cached =
          reply == OwnerReply.ANSWER ? new CachedAnswer(answer("v"), request.part(), nowUs) : null;
      return module.onOwnerReply(
          nowUs, request.owner(), request.fetchId(), request.key(), reply, cached);
    }

    private void check(List<Action> actions) {
      for (Action action : actions) {
        if (action instanceof Action.Respond respond) {
          assertTrue(deadlines.remove(respond.query()) != null, "query ends twice: " + action);
        } else if (action instanceof Action.Bypass bypass) {
          assertTrue(deadlines.remove(bypass.query()) != null, "query ends twice: " + action);
        } else if (action instanceof Action.Fail fail) {
          assertTrue(deadlines.remove(fail.query()) != null, "query ends twice: " + action);
          leaders.values().remove(fail.query());
        } else if (action instanceof Action.Fetch fetch) {
          assertTrue(
              deadlines.containsKey(fetch.query())
                  && leaders.put(fetch.fetchId(), fetch.query()) == null,
              "fetch has two leaders, or its leader is not pending: " + action);
        } else if (action instanceof Action.RequestFromOwner request) {
          ownerRequests.add(request);
        }
      }
    }
  }
}
