package dunlinhitch.answerkeys;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.answerkeys.Act.Said;
import dunlinhitch.cluster.RendezvousHash;
import dunlinhitch.cluster.ReplicatedEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class AnswerKeyModuleTest {
  private static final KeySettings S =
      new KeySettings(0, 1, 1, 1, 1, 1e-9, 250_000, 60_000_000, 600_000_000, 1 << 20, 64, 64, 4);
  private static final ClassKeys BOOKING =
      new ClassKeys("booking", List.of(), false, 1_000_000, 0, 1_500_000, "f:2");
  private static final Rule CASE = RuleSetTest.rule("case", new Rewrite.FoldCase());
  private static final long NOW = 100_000_000;
  private static final long DUE = NOW + 900_000;

  private static AnswerKeyModule keys(String self, KeySettings settings, Rule... rules) {
    AnswerKeyModule keys =
        new AnswerKeyModule(
            new RuleSet(List.of(RuleSetTest.SEARCH, BOOKING), List.of(rules)),
            settings,
            self,
            new SplittableRandom(1),
            new SimpleShelf<>(1 << 20));
    keys.listed("s", 0);
    keys.listed("s2", 0);
    return keys;
  }

  private static AnswerKeyModule keys(Rule... rules) {
    return keys("n0", S, rules);
  }

  /** As {@link #keys} with rule {@code case} trusted. */
  private static AnswerKeyModule trusting(String self, KeySettings settings) {
    AnswerKeyModule keys = keys(self, settings, CASE);
    keys.heard(
        NOW,
        new ReplicatedEntry<>(
            CASE.life(), "n9", NOW, new Evidence(0, 1, Set.of(1), Set.of("phone"), false, "")));
    assertEquals(RuleState.TRUSTED, keys.lives().state(CASE));
    return keys;
  }

  private static Ask ask(String text) {
    return new Ask("search", "", 3, text, Map.of("client", "phone"), "phone", false);
  }

  private static AnswerKey key(String text) {
    return new AnswerKey("search", "", 3, text, Map.of("client", "phone", "language", ""), "", 0);
  }

  private static Answer answer(String value) {
    return new Answer(value, "s", 0, 0, Set.of(), true, true);
  }

  private static Answer answer(String value, long generation) {
    return new Answer(value, "s", 0, generation, Set.of(), true, true);
  }

  private static Act.Fetch leads(List<Act> acts, long query) {
    assertEquals(1, acts.size(), acts.toString());
    Act.Fetch fetch = assertInstanceOf(Act.Fetch.class, acts.get(0));
    assertEquals(query, fetch.query());
    return fetch;
  }

  private static void gives(String value, List<Act> acts) {
    assertEquals(1, acts.size(), acts.toString());
    assertEquals(value, assertInstanceOf(Act.Give.class, acts.get(0)).held().answer().value());
  }

  @Test
  void oneAsksAndAllAreAnsweredThenForAWhileNobodyAsks() {
    AnswerKeyModule keys = keys();
    long flight = leads(keys.asked(NOW, 1, ask("a"), DUE), 1).flight();
    assertEquals(List.of(), keys.asked(NOW, 2, ask("a"), DUE));
    assertEquals(List.of(), keys.asked(NOW, 3, ask("a"), NOW + 10));
    assertEquals(List.of(new Act.End(3, Act.Why.LATE)), keys.passed(NOW + 10));
    gives("v", keys.came(NOW + 50, flight, answer("v")));
    gives("v", keys.asked(NOW + 999_999, 4, ask("a"), DUE + 999_999));
    leads(
        keys.asked(NOW + 1_000_000, 5, ask("a"), DUE + 999_999),
        5); // its age counts from the asking
  }

  @Test
  void theLeadPassesOnAndAttemptsAreCountedForAll() {
    AnswerKeyModule keys = keys();
    long flight = leads(keys.asked(NOW, 1, ask("a"), DUE), 1).flight();
    keys.asked(NOW, 2, ask("a"), DUE);
    keys.asked(NOW, 3, ask("a"), NOW + 100);
    assertEquals(List.of(new Act.Fetch(flight, 2, 3, false)), keys.failed(NOW + 1, flight, 3));
    assertEquals(
        List.of(new Act.Fetch(flight, 3, 3, true)),
        keys.left(NOW + 2, 2)); // the attempt is still out
    keys.asked(NOW + 3, 4, ask("a"), DUE);
    assertEquals(
        List.of(new Act.End(3, Act.Why.LATE), new Act.Fetch(flight, 4, 0, false)),
        keys.passed(NOW + 100));
    assertEquals(List.of(new Act.GiveUp(flight)), keys.left(NOW + 101, 4));
    flight = leads(keys.asked(NOW, 5, ask("a"), DUE), 5).flight();
    keys.asked(NOW, 6, ask("a"), DUE);
    assertEquals(List.of(new Act.End(6, Act.Why.OUT_OF_ATTEMPTS)), keys.failed(NOW, flight, 4));
  }

  /** An attempt with another text is not carried on by one that a rule alone makes the same. */
  @Test
  void anotherTextsAttemptIsNotTakenOver() {
    AnswerKeyModule keys = trusting("n0", S);
    long flight = leads(keys.asked(NOW, 1, ask("a"), DUE), 1).flight();
    keys.asked(NOW, 2, ask("A"), DUE);
    assertEquals(
        List.of(new Act.GiveUp(flight), new Act.Fetch(flight, 2, 0, false)), keys.left(NOW, 1));
  }

  @Test
  void whatMayNotBeSharedIsNot() {
    AnswerKeyModule keys = keys();
    assertEquals(
        List.of(new Act.Alone(1)),
        keys.asked(NOW, 1, new Ask("booking", "", 3, "a", Map.of(), "phone", false), DUE));
    assertEquals(
        List.of(new Act.Alone(1)),
        keys.asked(NOW, 1, new Ask("search", "", 3, "a", Map.of(), "phone", true), DUE));
    leads(keys.asked(NOW, 1, new Ask("search", "t1", 3, "a", Map.of(), "phone", false), DUE), 1);
    leads(
        keys.asked(NOW, 2, new Ask("search", "t2", 3, "a", Map.of(), "phone", false), DUE),
        2); // tenants are apart
    for (Answer bad :
        List.of(
            new Answer("v", "s", 0, 0, Set.of(), true, false),
            new Answer("v", "s", 0, 0, Set.of(), false, true),
            new Answer("v", "s", 0, 0, Set.of(Answer.ALL), true, true),
            new Answer("v", "unlisted", 0, 0, Set.of(), true, true),
            new Answer("v", "s", 7, 0, Set.of(), true, true))) {
      AnswerKeyModule anew = keys();
      long flight = leads(anew.asked(NOW, 1, ask("a"), DUE), 1).flight();
      anew.asked(NOW, 2, ask("a"), DUE);
      assertEquals(List.of(new Act.Alone(2)), anew.came(NOW, flight, bad), bad.toString());
      assertTrue(
          anew.asked(NOW, 3, ask("a"), DUE).stream().noneMatch(act -> act instanceof Act.Give),
          bad.toString());
    }
  }

  @Test
  void answersOlderThanTheirStoreOrItsDataAreNotReused() {
    AnswerKeyModule keys = keys();
    keys.alone(NOW, ask("a"), answer("v"), NOW);
    gives("v", keys.asked(NOW, 1, ask("a"), DUE));
    keys.listed("s", 5);
    leads(keys.asked(NOW, 2, ask("a"), DUE), 2);
    keys.listed("s", 0);
    keys.alone(NOW, ask("b"), answer("w", 3), NOW);
    keys.withdrawn("s");
    leads(keys.asked(NOW, 3, ask("b"), DUE), 3);
    keys.listed("s", 0);
    keys.alone(NOW, ask("c"), answer("x", 3), NOW);
    gives("x", keys.asked(NOW, 4, ask("c"), DUE));
    keys.alone(NOW, ask("d"), answer("y", 4), NOW);
    leads(keys.asked(NOW, 5, ask("c"), DUE), 5);
  }

  /** The store's word that answers vary by an attribute wins over a rule that drops it. */
  @Test
  void aStoresOwnWordWins() {
    Rule drop = RuleSetTest.rule("client", new Rewrite.DropVariant("client"));
    AnswerKeyModule keys = keys(drop);
    keys.heard(
        NOW,
        new ReplicatedEntry<>(
            drop.life(), "n9", NOW, new Evidence(0, 1, Set.of(1), Set.of("phone"), false, "")));
    Ask hall = new Ask("search", "", 3, "a", Map.of("client", "hall"), "hall", false);
    long flight = leads(keys.asked(NOW, 1, ask("a"), DUE), 1).flight();
    keys.asked(NOW, 2, hall, DUE);
    keys.asked(NOW, 3, ask("a"), DUE);
    List<Act> acts =
        keys.came(NOW, flight, new Answer("v", "s", 0, 0, Set.of("client"), true, true));
    assertEquals(new Act.Alone(2), acts.get(0));
    gives("v", acts.subList(1, 2));
    leads(keys.asked(NOW, 4, hall, DUE), 4);
    gives("v", keys.asked(NOW, 5, ask("a"), DUE));
  }

  @Test
  void anUnequalPairOfOneGenerationEndsTheRuleAndWhoWaitsByIt() {
    AnswerKeyModule keys = trusting("n0", S);
    long flight = leads(keys.asked(NOW, 1, ask("a"), DUE), 1).flight();
    keys.asked(NOW, 2, ask("A"), DUE);
    keys.alone(NOW, ask("b"), answer("v", 3), NOW);
    gives("v", keys.asked(NOW, 3, ask("B"), DUE));
    keys.alone(NOW, ask("B"), answer("w", 4), NOW); // later data: it may have changed
    assertEquals(RuleState.TRUSTED, keys.lives().state(CASE));
    List<Act> acts = keys.alone(NOW, ask("b"), answer("v", 4), NOW);
    assertEquals(RuleState.WITHDRAWN, keys.lives().state(CASE));
    assertEquals(List.of(new Act.Spread(), new Act.Alone(2)), acts);
    gives("v", keys.asked(NOW, 4, ask("b"), DUE));
    leads(
        keys.asked(NOW, 5, ask("B"), DUE), 5); // though a rule had made its text that of the other
    keys.came(NOW, flight, answer("z", 4));
    leads(keys.asked(NOW, 6, ask("A"), DUE), 6);
  }

  /**
   * One store that tells no generation: the first text asked again tells a change of data from a
   * false rule.
   */
  @Test
  void aDoubtIsSettledByAskingAgain() {
    for (boolean falseRule : new boolean[] {true, false}) {
      AnswerKeyModule keys = trusting("n0", S);
      keys.alone(NOW, ask("a"), answer("v"), NOW);
      keys.alone(NOW + 2, ask("A"), answer("w"), NOW + 1);
      assertEquals(RuleState.SUSPECT, keys.lives().state(CASE));
      keys.alone(NOW + 4, ask("a"), answer(falseRule ? "v" : "w"), NOW + 3);
      assertEquals(falseRule ? RuleState.WITHDRAWN : RuleState.TRUSTED, keys.lives().state(CASE));
    }
  }

  @Test
  void aTrustedRuleGoesOnBeingTried() {
    AnswerKeyModule keys =
        trusting(
            "n0",
            new KeySettings(
                0, 1, 1, 1, 1, 1, 250_000, 60_000_000, 600_000_000, 1 << 20, 64, 64, 4));
    keys.alone(NOW, ask("a"), answer("v"), NOW);
    gives("v", keys.asked(NOW, 1, ask("a"), DUE)); // the same text tries nothing
    assertEquals(List.of(new Act.Alone(2)), keys.asked(NOW, 2, ask("A"), DUE));
  }

  @Test
  void theHomeLetsOneFetchAndTheOthersWait() {
    Map<String, AnswerKeyModule> fleet = new HashMap<>();
    List<String> names = List.of("n0", "n1", "n2");
    names.forEach(name -> fleet.put(name, keys(name, S)));
    fleet.values().forEach(keys -> keys.settled(NOW, names));
    String home = RendezvousHash.first(names, key("a").words());
    List<String> others = names.stream().filter(name -> !name.equals(home)).toList();
    Act.AskHome one = (Act.AskHome) fleet.get(others.get(0)).asked(NOW, 1, ask("a"), DUE).get(0);
    Act.AskHome two = (Act.AskHome) fleet.get(others.get(1)).asked(NOW, 2, ask("a"), DUE).get(0);
    assertEquals(home, one.home());
    Act.TellPeer let =
        (Act.TellPeer)
            fleet
                .get(home)
                .peerAsked(NOW, others.get(0), one.flight(), one.key(), one.ask(), one.untilUs())
                .get(0);
    assertEquals(Said.FETCH, let.said());
    assertEquals(
        List.of(),
        fleet
            .get(home)
            .peerAsked(NOW, others.get(1), two.flight(), two.key(), two.ask(), two.untilUs()));
    assertEquals(List.of(), fleet.get(home).asked(NOW, 3, ask("a"), DUE));
    Act.Fetch fetch =
        leads(
            fleet.get(others.get(0)).homeSaid(NOW, home, let.flight(), let.key(), let.said(), null),
            1);
    Act.TellHome tell =
        (Act.TellHome) fleet.get(others.get(0)).came(NOW + 9, fetch.flight(), answer("v")).get(0);
    List<Act> shared = fleet.get(home).peerTold(NOW + 9, others.get(0), tell.key(), tell.held());
    Act.TellPeer said = (Act.TellPeer) shared.get(0);
    gives("v", shared.subList(1, 2));
    gives(
        "v",
        fleet
            .get(others.get(1))
            .homeSaid(NOW + 9, home, said.flight(), said.key(), said.said(), said.held()));
    gives("v", fleet.get(others.get(1)).asked(NOW + 10, 4, ask("a"), DUE));
  }

  @Test
  void aSilentHomeIsNotWaitedForLongerThanStated() {
    List<String> names = List.of("n0", "n1", "n2");
    AnswerKeyModule keys = keys();
    keys.settled(NOW, names);
    String text =
        Stream.of("a", "b", "c", "d", "e", "f", "g")
            .filter(t -> !RendezvousHash.first(names, key(t).words()).equals("n0"))
            .findFirst()
            .orElseThrow();
    Act.AskHome asks = (Act.AskHome) keys.asked(NOW, 1, ask(text), DUE).get(0);
    assertEquals(NOW + 100_000, asks.untilUs());
    assertEquals(List.of(), keys.passed(asks.untilUs() - 1));
    long flight = leads(keys.passed(asks.untilUs()), 1).flight();
    assertEquals(
        List.of(),
        keys.homeSaid(
            asks.untilUs() + 1, asks.home(), asks.flight(), asks.key(), Said.FETCH, null));
    assertInstanceOf(Act.TellHome.class, keys.came(asks.untilUs() + 2, flight, answer("v")).get(0));
  }

  /**
   * Any order of events: one lead at a time, and each query that waits ends once, by its deadline
   * at the latest.
   */
  @Property(tries = 300)
  void oneLeadAtATimeAndEachEndsOnce(@ForAll long seed) {
    Random random = new Random(seed);
    AnswerKeyModule keys = keys();
    keys.settled(NOW, List.of("n0", "n1", "n2"));
    Map<Long, Long> waits = new HashMap<>();
    Map<Long, Long> leads = new HashMap<>();
    List<Act.AskHome> asked = new ArrayList<>();
    long now = NOW;
    long query = 0;
    for (int step = 0; step < 120; step++) {
      List<Act> acts = new ArrayList<>();
      long at = now;
      List<Long> flights = List.copyOf(leads.keySet());
      long flight = flights.isEmpty() ? 0 : flights.get(random.nextInt(flights.size()));
      Ask ask = ask(String.valueOf((char) ('a' + random.nextInt(3))));
      switch (random.nextInt(7)) {
        case 0, 1 -> {
          long due = now + 1 + random.nextInt(300_000);
          waits.put(++query, due);
          acts.addAll(keys.asked(now, query, ask, due));
        }
        case 2 -> {
          waits.remove(leads.remove(flight));
          acts.addAll(keys.came(now, flight, answer("v")));
        }
        case 3 -> {
          waits.remove(leads.remove(flight));
          acts.addAll(keys.failed(now, flight, 1));
        }
        case 4 -> {
          long gone = 1L + random.nextInt((int) query + 1);
          waits.remove(gone);
          leads.values().remove(gone);
          acts.addAll(keys.left(now, gone));
        }
        case 5 -> {
          AnswerKey key = key(ask.text());
          acts.addAll(
              random.nextBoolean()
                  ? keys.peerAsked(now, "n1", step, key, ask, now + 50_000)
                  : keys.peerTold(
                      now,
                      "n1",
                      key,
                      random.nextBoolean() ? null : new Held(answer("v"), ask, now)));
        }
        default -> {
          if (!asked.isEmpty()) {
            Act.AskHome home = asked.get(random.nextInt(asked.size()));
            Said said = List.of(Said.values()).get(random.nextInt(3));
            acts.addAll(
                keys.homeSaid(
                    now,
                    home.home(),
                    home.flight(),
                    home.key(),
                    said,
                    said == Said.ANSWER ? new Held(answer("v"), home.ask(), now) : null));
          }
        }
      }
      follow(acts, waits, leads, asked);
      now += random.nextInt(60_000);
      for (long next = keys.nextUs(at); next <= now; next = keys.nextUs(next)) {
        follow(keys.passed(next), waits, leads, asked);
      }
      long until = now;
      waits.forEach(
          (number, due) -> assertTrue(due > until, "query " + number + " should have ended"));
    }
  }

  private static void follow(
      List<Act> acts, Map<Long, Long> waits, Map<Long, Long> leads, List<Act.AskHome> asked) {
    for (Act act : acts) {
      if (act instanceof Act.Give give) {
        assertTrue(waits.remove(give.query()) != null, "ends twice: " + act);
      } else if (act instanceof Act.Alone alone) {
        assertTrue(waits.remove(alone.query()) != null, "ends twice: " + act);
      } else if (act instanceof Act.End end) {
        assertTrue(waits.remove(end.query()) != null, "ends twice: " + act);
        leads.values().remove(end.query());
      } else if (act instanceof Act.Fetch fetch) {
        assertTrue(
            waits.containsKey(fetch.query()) && leads.put(fetch.flight(), fetch.query()) == null,
            "two leads: " + act);
      } else if (act instanceof Act.AskHome ask) {
        asked.add(ask);
      }
    }
  }

  @Test
  void theShelfKeepsToItsBytes() {
    SimpleShelf<String, String> shelf = new SimpleShelf<>(10);
    shelf.put("a", "1", 4);
    shelf.put("b", "2", 4);
    shelf.get("a");
    shelf.put("c", "3", 4);
    shelf.put("d", "4", 11);
    assertEquals(8, shelf.bytes());
    assertEquals("1", shelf.get("a"));
    assertEquals(null, shelf.get("b"));
    assertEquals(null, shelf.get("d"));
  }
}
