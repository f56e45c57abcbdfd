package dunlinhitch.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.discovery.WatchStateMachine.Step;
import dunlinhitch.experiments.fakes.Stage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** One clock for the list, on a made clock: nothing here waits. */
class WatchStateMachineTest {
  private static final long SECOND = 1_000_000;
  private static final Settings PUSHED = Stage.settings(40);
  private final List<Step> steps = new ArrayList<>();
  private long now = 1_000 * SECOND;

  private static Settings asked(int brokers) {
    Settings s = PUSHED;
    return new Settings(
        brokers,
        s.zones(),
        s.zone(),
        s.tickUs(),
        s.classes(),
        s.tenants(),
        s.overQuotaWeight(),
        s.layout(),
        s.limits(),
        s.rules(),
        s.prices(),
        true,
        s.reportsInAnswers(),
        s.reportsInHealthChecks(),
        s.reportFields(),
        s.marksRepeats());
  }

  private WatchStateMachine plan(Settings settings) {
    return new WatchStateMachine(() -> WatchTimings.of(settings), 41, 7);
  }

  private void took(List<Step> some) {
    steps.addAll(some);
  }

  /** Time passes and nothing is heard. */
  private void quiet(WatchStateMachine plan, long us) {
    long end = now + us;
    while (plan.nextUs() <= end) {
      now = plan.nextUs();
      took(plan.passed(now));
      assertTrue(plan.nextUs() > now, "it would spin");
    }
    now = end;
  }

  private <T extends Step> List<T> of(Class<T> kind) {
    return steps.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  private Step.Ask last() {
    List<Step.Ask> asks = of(Step.Ask.class);
    return asks.get(asks.size() - 1);
  }

  /** The call that was made last is answered, and its first list is of that generation. */
  private long open(WatchStateMachine plan, long generation) {
    long call = last().call();
    took(plan.answered(now, call));
    took(plan.heard(now, call, false));
    took(plan.listed(now, call, generation));
    return call;
  }

  /**
   * Empty lines of each 2 s keep a watch; without them it is given up well before 6 s and asked
   * from the list it had.
   */
  @Test
  void silenceEndsAWatchAndNothingElseDoes() {
    WatchStateMachine plan = plan(PUSHED);
    took(plan.follow(now, "a", 1));
    assertEquals(41, last().since());
    long call = open(plan, 50);
    for (int i = 0; i < 20; i++) {
      quiet(plan, 2 * SECOND);
      took(plan.heard(now, call, false));
    }
    assertEquals(1, of(Step.Ask.class).size());
    assertEquals(List.of(), of(Step.Silent.class));
    long fell = now;
    quiet(plan, 3 * SECOND);
    assertEquals(new Step.Silent(fell), of(Step.Silent.class).get(0));
    assertEquals(50, last().since());
    assertTrue(steps.contains(new Step.Drop(call)));
    assertFalse(plan.hears(call));
    open(plan, 51);
    assertEquals(1, of(Step.Heard.class).size());
  }

  /**
   * The agent is down for 9 s and says nothing; a call from then may never be answered. What it has
   * counts as told from its first moment: a call is made within 130 ms of any moment, and no more
   * than eight are out.
   */
  @Test
  void anAgentThatComesBackIsAskedAtOnce() {
    WatchStateMachine plan = plan(PUSHED);
    took(plan.follow(now, "a", 1));
    open(plan, 50);
    quiet(plan, 4 * SECOND);
    for (int i = 0; i < 38; i++) {
      int calls = of(Step.Ask.class).size();
      quiet(plan, 130_000);
      assertTrue(of(Step.Ask.class).size() > calls);
      assertTrue(of(Step.Ask.class).size() - of(Step.Drop.class).size() <= 8);
    }
    long back = last().call();
    open(plan, 60);
    assertEquals(
        of(Step.Ask.class).size() - 1, of(Step.Drop.class).size(), "only the answered one is left");
    assertTrue(plan.hears(back));
  }

  /**
   * A list that begins and stalls is no list, though its bytes dribble in or empty lines follow it.
   */
  @Test
  void anObjectThatDoesNotEndBreaksTheWatch() {
    WatchStateMachine plan = plan(PUSHED);
    took(plan.follow(now, "a", 1));
    long call = open(plan, 50);
    long began = now;
    for (int i = 0; i < 30 && plan.hears(call); i++) {
      took(plan.heard(now, call, true));
      quiet(plan, 200_000);
    }
    assertFalse(plan.hears(call));
    assertTrue(now <= began + 3 * SECOND);
    assertEquals(50, last().since());
  }

  /**
   * Moved during a silence: only the new one is asked, for all it has, then for what comes after;
   * nothing of the old one is read.
   */
  @Test
  void aMoveDuringSilenceAsksTheNewAddressAlone() {
    WatchStateMachine plan = plan(PUSHED);
    took(plan.follow(now, "a", 1));
    open(plan, 50);
    quiet(plan, 4 * SECOND);
    long old = last().call();
    took(plan.follow(now, "b", 2));
    assertFalse(plan.hears(old));
    assertEquals(WatchStateMachine.NONE_YET, last().since());
    long whole = open(plan, 3);
    assertFalse(plan.hears(whole));
    assertEquals(3, last().since());
    assertEquals("b", last().host());
  }

  /**
   * Moved while the old one speaks: it is heard until the new one has spoken, and not a moment
   * longer.
   */
  @Test
  void theOldAddressIsHeardUntilTheNewOneSpeaks() {
    WatchStateMachine plan = plan(PUSHED);
    took(plan.follow(now, "a", 1));
    long old = open(plan, 50);
    took(plan.follow(now, "b", 2));
    took(plan.listed(now, old, 51));
    assertTrue(plan.hears(old));
    open(plan, 3);
    assertFalse(plan.hears(old));
    int asks = of(Step.Ask.class).size();
    took(plan.lost(now, old));
    assertEquals(asks, of(Step.Ask.class).size());
  }

  /**
   * A discovery that all share is lost to all in one moment: they do not come back in one, and bear
   * its few calls a second.
   */
  @Test
  void aSharedDiscoveryIsAskedSeldomAndNotInStep() {
    List<Long> firsts = new ArrayList<>();
    long calls = 0;
    long lasting = 0;
    for (int broker = 0; broker < 4; broker++) {
      WatchStateMachine plan = new WatchStateMachine(() -> WatchTimings.of(asked(4)), 41, broker);
      steps.clear();
      now = 1_000 * SECOND;
      took(plan.follow(now, "a", 1));
      open(plan, 50);
      took(plan.lost(now, last().call())); // it went down: watches end
      firsts.add(plan.nextUs() / 10_000);
      for (long end = now + 30 * SECOND;
          now < end;
          now = plan.nextUs()) { // each call ends with 503 at once
        took(plan.passed(now));
        took(plan.lost(now, last().call()));
        lasting += now > end - 25 * SECOND ? 1 : 0;
      }
      calls += of(Step.Ask.class).size();
    }
    assertTrue(firsts.stream().distinct().count() >= 3, "in step: " + firsts);
    assertTrue(calls <= 1.5 * 30 + 4, "calls in 30 s: " + calls);
    assertTrue(lasting <= 1.4 * 25, "calls in the last 25 s: " + lasting);
    assertTrue(
        IntStream.of(1, 4, 100)
            .mapToObj(n -> WatchTimings.of(asked(n)))
            .allMatch(
                times ->
                    times.pauses().longestUs()
                        <= Math.min(4 * SECOND, PUSHED.rules().pollWithinUs() / 2)));
  }

  @Test
  void whoAsksForTheListAgainGetsOneCallNotTwo() {
    WatchStateMachine plan = plan(asked(4));
    took(plan.follow(now, "a", 1));
    took(plan.resync(now));
    assertEquals(1, of(Step.Ask.class).size());
    open(plan, 50);
    took(plan.resync(now));
    assertEquals(2, of(Step.Ask.class).size());
    took(plan.stop());
    assertEquals(WatchStateMachine.NEVER, plan.nextUs());
  }

  /**
   * What becomes of a call while discovery can not be reached; it never answers one of these later.
   */
  private enum Fault {
    REFUSED,
    SAYS_503,
    NEVER_CONNECTS,
    NEVER_ANSWERS,
    HEAD_ALONE,
    LATE_HEAD,
    MOVES,
    ONE_LINE,
    LIST_AND_RESET,
    LISTS_AND_SILENCE
  }

  /**
   * When a call is made that discovery, there again since {@code backUs}, can answer; before that
   * each call has a fault of its own.
   */
  private long askedAfter(
      WatchStateMachine plan, long backUs, SplittableRandom random, Fault[] faults) {
    TreeMap<Long, Runnable> script = new TreeMap<>();
    int[] seen = {0};
    for (int guard = 0; guard < 100_000; guard++) {
      for (; seen[0] < steps.size(); seen[0]++) {
        if (steps.get(seen[0]) instanceof Step.Ask ask) {
          if (now >= backUs) {
            return now;
          }
          fails(plan, backUs, ask.call(), faults[random.nextInt(faults.length)], script, random);
        }
      }
      Map.Entry<Long, Runnable> next = script.firstEntry();
      if (next == null || next.getKey() > plan.nextUs()) {
        assertTrue(plan.nextUs() > now || plan.nextUs() == now && next == null, "it would spin");
        now = Math.max(now, plan.nextUs());
        took(plan.passed(now));
      } else {
        now = script.pollFirstEntry().getKey();
        next.getValue().run();
      }
    }
    throw new AssertionError("no call was made");
  }

  private void fails(
      WatchStateMachine plan,
      long backUs,
      long call,
      Fault fault,
      TreeMap<Long, Runnable> script,
      SplittableRandom random) {
    long at = now + 1 + random.nextLong(300_000);
    Runnable lost = () -> took(plan.lost(now, call));
    Runnable head = () -> took(now < backUs ? plan.answered(now, call) : List.of());
    Runnable line = () -> took(now < backUs ? plan.heard(now, call, false) : List.of());
    Runnable list =
        () -> {
          line.run();
          took(now < backUs ? plan.listed(now, call, 50) : List.of());
        };
    switch (fault) {
      case REFUSED -> script.put(now + 1, lost);
      case SAYS_503 -> script.put(at, lost);
      case NEVER_CONNECTS -> script.put(now + SECOND, lost);
      case HEAD_ALONE -> script.put(at, head);
      case LATE_HEAD -> script.put(now + 2_600_000 + random.nextLong(390_000), head);
      case MOVES -> script.put(at, () -> took(plan.follow(now, "b" + call, 2)));
      case LIST_AND_RESET -> {
        script.put(at, head);
        script.put(at + 1, list);
        script.put(at + 2 + random.nextLong(3 * SECOND), lost);
      }
      case ONE_LINE, LISTS_AND_SILENCE -> {
        script.put(at, head);
        script.put(at + 1, fault == Fault.ONE_LINE ? line : list);
        for (int i = 1; fault == Fault.LISTS_AND_SILENCE && i < random.nextInt(4); i++) {
          script.put(at + 2 * i * SECOND, line);
        }
      }
      case NEVER_ANSWERS -> {}
    }
  }

  /** Every seed: a history of its own, until a moment of its own. */
  private long latest(Settings settings, Fault... faults) {
    long latest = 0;
    for (int seed = 0; seed < 400; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      steps.clear();
      now = 1_000 * SECOND;
      WatchStateMachine plan = new WatchStateMachine(() -> WatchTimings.of(settings), 41, seed);
      took(plan.follow(now, "a", 1));
      long backUs = now + SECOND + random.nextLong(40 * SECOND);
      latest = Math.max(latest, askedAfter(plan, backUs, random, faults) - backUs);
    }
    return latest;
  }

  /**
   * What discovery has counts as told 6 s after it could be reached. Where it is asked, whatever
   * failed before and in whatever order, a call is made early enough for an answer that takes 1.8
   * s.
   */
  @Test
  void whateverFailedBeforeASharedDiscoveryIsReadWithinSixSeconds() {
    for (int brokers : new int[] {1, 4, 30, 100}) {
      for (Fault alone : Fault.values()) {
        long us = latest(asked(brokers), alone);
        assertTrue(us <= 4_200_000, brokers + " brokers, " + alone + ": " + us);
      }
      long us = latest(asked(brokers), Fault.values());
      assertTrue(us <= 4_200_000, brokers + " brokers, all: " + us);
    }
  }

  /**
   * What an agent gets at its return counts at once: but for a watch that fell silent, and is
   * noticed in 3 s, it is asked in 130 ms.
   */
  @Test
  void whateverFailedBeforeAnAgentIsAskedAtOnce() {
    long us =
        latest(PUSHED, Fault.REFUSED, Fault.SAYS_503, Fault.NEVER_CONNECTS, Fault.NEVER_ANSWERS);
    assertTrue(us <= 130_000, "asked after " + us);
    us = latest(PUSHED, Fault.values());
    assertTrue(us <= 3_200_000, "asked after " + us);
  }

  /**
   * An agent that takes 2 s for each answer is heard all the same: beside those that come and go
   * one call waits for it.
   */
  @Test
  void aSlowAgentIsHeard() {
    WatchStateMachine plan = plan(PUSHED);
    took(plan.follow(now, "a", 1));
    quiet(plan, 10 * SECOND);
    assertTrue(
        of(Step.Ask.class).stream()
            .anyMatch(ask -> plan.hears(ask.call()) && ask.call() < last().call() - 10),
        "each call is given up too soon");
  }

  /** Moved twice before the second address has spoken: the first is heard until the third has. */
  @Test
  void whoSpeaksIsHeardOverAMoveThatLeadNowhere() {
    WatchStateMachine plan = plan(PUSHED);
    took(plan.follow(now, "a", 1));
    long old = open(plan, 50);
    took(plan.follow(now, "b", 2));
    long nowhere = last().call();
    took(plan.follow(now, "c", 3));
    assertTrue(plan.hears(old));
    assertFalse(plan.hears(nowhere));
    open(plan, 3);
    assertFalse(plan.hears(old));
  }

  /**
   * Lists that follow each other without a gap, each piece ending within one, are whole in time:
   * nothing stalls.
   */
  @Test
  void listsWithoutAGapAreNoStall() {
    WatchStateMachine plan = plan(PUSHED);
    took(plan.follow(now, "a", 1));
    long call = open(plan, 50);
    for (int i = 0; i < 30; i++) {
      quiet(plan, 200_000);
      took(plan.heard(now, call, true));
      took(plan.listed(now, call, 51 + i));
    }
    assertTrue(plan.hears(call));
  }

  /**
   * New settings hold for the calls that follow: lists that were pushed are to be asked for, of a
   * discovery that all share.
   */
  @Test
  void newSettingsBringOtherTimes() {
    Settings[] settings = {PUSHED};
    WatchStateMachine plan = new WatchStateMachine(() -> WatchTimings.of(settings[0]), 41, 7);
    took(plan.follow(now, "a", 1));
    quiet(plan, 3 * SECOND);
    settings[0] = asked(100);
    quiet(plan, 5 * SECOND);
    int calls = of(Step.Ask.class).size();
    quiet(plan, 30 * SECOND);
    assertTrue(
        of(Step.Ask.class).size() - calls <= 12,
        "calls in 30 s: " + (of(Step.Ask.class).size() - calls));
  }

  /**
   * A change of a generation before the one that is held is none to go by: the whole list is asked
   * for.
   */
  @Test
  void anOlderChangeIsNotTakenAndAllIsAskedFor() {
    WatchStateMachine plan = plan(PUSHED);
    took(plan.follow(now, "a", 1));
    long call = open(plan, 50);
    assertTrue(
        plan.fits(call, 50, false) && plan.fits(call, 51, false) && plan.fits(call, 3, true));
    assertFalse(plan.fits(call, 49, false));
    took(plan.misfit(now, call));
    quiet(plan, 130_000);
    assertEquals(WatchStateMachine.NONE_YET, last().since());
    assertEquals(1, of(Step.Lost.class).size());
    long whole = last().call();
    assertTrue(plan.fits(whole, 3, false));
    open(plan, 3);
    assertEquals(3, last().since());
  }
}
