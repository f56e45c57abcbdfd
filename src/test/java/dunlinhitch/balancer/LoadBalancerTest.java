package dunlinhitch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.balancer.settings.ShardLayout;
import dunlinhitch.balancer.settings.Tenant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The module through its interface: the mechanism, each rule, and each failure that was found. */
class LoadBalancerTest {
  private static final long LONG = 3_000_000;

  private static Script pair(Sites site) {
    Script s = new Script(site.build());
    s.list(Sites.ready(1, 0), Sites.ready(2, 1));
    return s;
  }

  private static void answerAll(Script s) {
    for (Script.Sent sent : new ArrayList<>(s.sent)) {
      s.end(sent, AttemptOutcome.OK);
    }
  }

  /** Queries answered well, so that times are learned and the throttle has seen success. */
  private static void warmUp(Script s, int queries) {
    for (int i = 0; i < queries; i++) {
      int from = s.sent.size();
      s.query(0, LONG, 0);
      s.run(100_000);
      for (Script.Sent sent : new ArrayList<>(s.sent.subList(from, s.sent.size()))) {
        s.end(sent, AttemptOutcome.OK);
      }
    }
    s.sent.clear();
    s.done.clear();
  }

  // out by hand

  /**
   * Called back it is cold and unheard, and would lose to an idle one for long: it is tried once
   * all the same.
   */
  @Test
  void aServerThatIsCalledBackIsUsedSoonAndSparingly() {
    Script s = pair(new Sites());
    warmUp(s, 10);
    s.event(new BalancerEvent.ServerDisabled(1, true));
    warmUp(s, 20);
    s.query(0, LONG, 0, 1, 2, 3);
    assertTrue(s.sent.stream().allMatch(x -> x.server() == 2));
    answerAll(s);
    s.sent.clear();
    s.event(new BalancerEvent.ServerDisabled(1, false));
    int used = 0;
    for (int i = 0; i < 50; i++) { // of 5 s
      int from = s.sent.size();
      s.query(0, LONG, 0);
      s.run(100_000);
      for (Script.Sent sent : new ArrayList<>(s.sent.subList(from, s.sent.size()))) {
        used += sent.server() == 1 ? 1 : 0;
        s.end(sent, AttemptOutcome.OK);
      }
    }
    assertTrue(used > 0 && used < 25, "used " + used + " times of 50");
  }

  // the mechanism

  @Test
  void laterPartsOfAQuerySeeTheEarlierOnes() {
    Script s = pair(new Sites());
    s.query(0, LONG, 0, 1, 2, 3);
    assertEquals(2, s.sent.stream().filter(x -> x.server() == 1).count());
    assertEquals(2, s.sent.stream().filter(x -> x.server() == 2).count());
  }

  @Test
  void workIsReleasedWhenAnAttemptEnds() {
    Script s = pair(new Sites());
    s.query(0, LONG, 0, 1, 2, 3);
    for (Script.Sent sent : List.copyOf(s.sent)) {
      if (sent.server() == 2) {
        s.end(sent, AttemptOutcome.OK);
      }
    }
    s.query(0, LONG, 0, 1);
    assertEquals(List.of(2), s.serversOf(200));
    assertEquals(List.of(2), s.serversOf(201));
  }

  @Test
  void choicesFollowReports() {
    Script s = pair(new Sites());
    s.query(0, LONG, 0, 1);
    for (Script.Sent sent : List.copyOf(s.sent)) {
      s.end(sent, AttemptOutcome.OK, sent.server() == 1 ? 20 : 0);
    }
    s.query(0, LONG, 0, 1);
    assertEquals(List.of(2), s.serversOf(200));
    assertEquals(List.of(2), s.serversOf(201));
  }

  @Test
  void absurdReportsLeaveTheEstimateFinite() {
    Script s = pair(new Sites());
    float[] bad = {Float.NaN, Float.NEGATIVE_INFINITY, -5, 1e30f};
    for (float value : bad) {
      s.query(0, LONG, 0, 1);
      for (Script.Sent sent : List.copyOf(s.sent)) {
        s.end(sent, AttemptOutcome.OK, value);
      }
      s.sent.clear();
    }
    s.run(20_000_000);
    s.query(0, LONG, 0, 1);
    Set<Integer> used = new HashSet<>(s.serversOf(500));
    used.addAll(s.serversOf(501));
    assertEquals(Set.of(1, 2), used);
  }

  @Test
  void hintsWeighParts() {
    Script s = pair(new Sites());
    s.event(new BalancerEvent.QueryArrived(1, 1, 0, 0, 3, s.now + LONG, 0, false));
    s.event(new BalancerEvent.PartArrived(100, 1, 0, 0.3, 300_000));
    s.event(new BalancerEvent.PartArrived(101, 1, 0, 0.3, 100_000));
    s.event(new BalancerEvent.PartArrived(102, 1, 0, 0.4, 100_000));
    assertEquals(s.serversOf(101), s.serversOf(102));
    assertNotEquals(s.serversOf(100), s.serversOf(101));
  }

  @Test
  void partsOfOneTurnShareACall() {
    Sites site = new Sites();
    site.perCall = 8;
    site.callUs = 80_000;
    Script s = pair(site);
    s.event(new BalancerEvent.QueryArrived(1, 1, 0, 0, 1, s.now + LONG, 0, false));
    s.event(new BalancerEvent.PartArrived(100, 1, 0, 1, 60_000));
    int busy = s.last().server();
    s.run(1_000);
    s.event(new BalancerEvent.QueryArrived(2, 2, 0, 0, 3, s.now + LONG, 0, false));
    s.event(new BalancerEvent.PartArrived(200, 2, 0, 0.3, 10_000));
    s.event(new BalancerEvent.PartArrived(201, 2, 1, 0.3, 60_000));
    s.event(new BalancerEvent.PartArrived(202, 2, 2, 0.4, 10_000));
    // the overhead of a call is charged once, so the third part still finds the idle server cheaper
    assertTrue(s.sent.stream().skip(1).noneMatch(x -> x.server() == busy));
  }

  @Test
  void sameEventsGiveTheSameActions() {
    Script one = pair(new Sites());
    Script two = pair(new Sites());
    for (Script s : List.of(one, two)) {
      for (int i = 0; i < 20; i++) {
        s.query(0, LONG, i % 8, (i + 3) % 8);
        s.run(30_000);
      }
    }
    assertEquals(one.sent, two.sent);
    assertEquals(one.done, two.done);
  }

  // no query lost

  @Test
  void everyQueryGetsOneFinalAnswerInTime() {
    Script s = pair(new Sites());
    s.query(0, LONG, 0, 1);
    s.query(0, 300_000, 2);
    s.run(300_000);
    assertTrue(s.done.stream().anyMatch(d -> d.startsWith("refuse 2 ")), "refused: " + s.done);
    s.run(LONG);
    assertEquals(2, s.done.stream().filter(d -> d.startsWith("refuse")).count());
    int sent = s.sent.size();
    answerAll(s);
    s.run(LONG);
    assertEquals(sent, s.sent.size());
    assertEquals(0, s.done.stream().filter(d -> d.startsWith("answer")).count());
  }

  @Test
  void aShardWithoutReplicaWaitsAndThenEndsInTime() {
    Script s = new Script(new Sites().build());
    s.query(0, LONG, 0);
    s.query(0, LONG, 1);
    s.run(200_000);
    assertTrue(s.done.isEmpty());
    s.list(Sites.ready(1, 0));
    assertEquals(List.of(1), s.serversOf(100));
    s.end(s.sent.get(0), AttemptOutcome.OK);
    assertTrue(s.done.contains("answer 1 whole"));
    s.run(LONG);
    assertEquals(2, s.done.stream().filter(d -> d.matches("(answer|refuse|fail) .*")).count());
  }

  @Test
  void oddEventsAreSkippedAndTheLedgerStaysBalanced() {
    Script s = pair(new Sites());
    s.query(0, LONG, 0);
    Script.Sent first = s.last();
    s.event(new BalancerEvent.ClientDisconnected(1));
    s.event(new BalancerEvent.ClientDisconnected(1));
    s.event(new BalancerEvent.ClientDisconnected(999));
    s.event(
        new BalancerEvent.AttemptCompleted(999, 0, AttemptOutcome.OK, 1, 5, true, new float[0]));
    s.event(new BalancerEvent.TimerFired(123456));
    s.event(new BalancerEvent.HealthCheckCompleted(77, AttemptOutcome.OK, 5, new float[] {1}));
    s.event(new BalancerEvent.PeerMessageReceived(3, new byte[] {1}));
    s.event(new BalancerEvent.PartArrived(5, 99, 0, 1, 0));
    s.end(first, AttemptOutcome.CANCELLED);
    s.end(first, AttemptOutcome.OK);
    s.query(0, LONG, 0, 1);
    assertNotEquals(s.serversOf(200), s.serversOf(201));
  }

  // no effect twice

  @Test
  void singleShotPartsAreSentAgainOnlyWhenNoneRan() {
    Sites site = new Sites();
    site.repeat = Idempotency.SINGLE_SHOT;
    Script s = pair(site);
    s.query(0, LONG, 0);
    s.end(s.last(), AttemptOutcome.FULL);
    assertEquals(2, s.sent.size());
    s.end(s.last(), AttemptOutcome.ERROR);
    s.run(LONG);
    assertEquals(2, s.sent.size());
    assertEquals(List.of("fail 1"), s.done);
  }

  @Test
  void singleShotQueryIsRefusedOnlyWhenNothingRan() {
    Sites site = new Sites();
    site.repeat = Idempotency.SINGLE_SHOT;
    Script s = new Script(site.build());
    s.query(0, LONG, 0);
    s.run(LONG);
    assertEquals(List.of("refuse 1 800000"), s.done);
  }

  @Test
  void guardedPartsAreSentAgainWithinTheirWindow() {
    Sites site = new Sites();
    site.repeat = Idempotency.GUARDED;
    Script s = pair(site);
    s.query(0, LONG, 0);
    s.run(100_000);
    s.end(s.last(), AttemptOutcome.ERROR);
    assertEquals(2, s.sent.size());
    s.run(450_000);
    int sent = s.sent.size();
    s.end(s.last(), AttemptOutcome.ERROR);
    s.run(LONG);
    assertEquals(sent, s.sent.size());
    assertTrue(s.done.contains("fail 1"));
  }

  @Test
  void noTwoAttemptsAtOnceWhereTheSiteForbidsIt() {
    Sites site = new Sites();
    site.parallel = false;
    Script s = pair(site);
    warmUp(s, 80);
    s.query(0, LONG, 0);
    s.run(950_000);
    assertEquals(1, s.sent.size());
    assertTrue(s.done.stream().anyMatch(d -> d.startsWith("cancel")));
    s.end(s.last(), AttemptOutcome.CANCELLED);
    assertEquals(2, s.serversOf(s.last().part()).stream().distinct().count());
  }

  @Test
  void attemptsEndByThemselvesWhereNothingCanBeCancelled() {
    Sites site = new Sites();
    site.cancel = false;
    site.parallel = false;
    Script s = pair(site);
    warmUp(s, 80);
    s.query(0, LONG, 0);
    assertTrue(s.last().timeOutUs() > 0 && s.last().timeOutUs() < 900_000);
    s.run(LONG);
    assertFalse(s.done.stream().anyMatch(d -> d.startsWith("cancel")));
  }

  // drains

  @Test
  void drainingServersGetNothingWhereAnotherHoldsTheShard() {
    Script s = pair(new Sites());
    s.change(Sites.in(1, 0, ServerState.DRAINING));
    s.query(0, LONG, 0, 1, 2, 3);
    assertTrue(s.sent.stream().allMatch(x -> x.server() == 2));
  }

  @Test
  void aLastReplicaThatDrainsIsUsedWithinTheGraceOnly() {
    Script s = new Script(new Sites().build());
    s.list(Sites.ready(1, 0));
    s.change(Sites.in(1, 0, ServerState.DRAINING));
    s.query(0, LONG, 0);
    assertEquals(1, s.sent.size());
    s.run(600_000);
    int sent = s.sent.size();
    s.query(0, LONG, 0);
    s.run(LONG);
    assertEquals(sent, s.sent.size());
  }

  @Test
  void serversMissingFromAFullListAreGone() {
    Script s = pair(new Sites());
    s.list(Sites.ready(2, 1));
    s.query(0, LONG, 0, 1);
    assertTrue(s.sent.stream().allMatch(x -> x.server() == 2));
  }

  // fail-back

  @Test
  void aFreshServerGetsNoMoreThanItsBudget() {
    Sites site = new Sites();
    site.brokers = 2;
    Script s = new Script(site.build());
    s.list(Sites.fresh(1, 0, s.now));
    for (int i = 0; i < 40; i++) {
      s.query(0, LONG, 0);
      s.run(25_000);
    }
    // 2 x 0.2..0.28 of one core for a second, halved: no more than three parts of 100 ms
    assertTrue(s.sent.size() >= 1 && s.sent.size() <= 3, "sent: " + s.sent.size());
  }

  @Test
  void anOldServerIsNotHeldBack() {
    Script s = new Script(new Sites().build());
    s.list(Sites.ready(1, 0));
    for (int i = 0; i < 4; i++) {
      s.query(0, LONG, 0);
    }
    assertEquals(4, s.sent.size());
  }

  // honest answers

  @Test
  void answersWholeTheMomentTheNeedIsIn() {
    Sites site = new Sites();
    site.need = 0.67;
    site.floor = 0.67;
    Script s = pair(site);
    s.query(0, LONG, 0, 1, 2, 3, 4, 5);
    assertEquals(5, s.sent.size(), "the sixth waits as a spare");
    List<Script.Sent> sent = List.copyOf(s.sent);
    for (int i = 0; i < 4; i++) {
      s.end(sent.get(i), AttemptOutcome.OK);
    }
    assertTrue(s.done.isEmpty());
    s.end(sent.get(4), AttemptOutcome.OK);
    assertEquals(List.of("answer 1 whole"), s.done);
  }

  @Test
  void aLatePartBringsInTheSpare() {
    Sites site = new Sites();
    site.need = 0.67;
    site.floor = 0.67;
    Script s = pair(site);
    warmUp(s, 80);
    s.query(0, LONG, 0, 1, 2, 3, 4, 5);
    for (Script.Sent sent : List.copyOf(s.sent).subList(0, 4)) {
      s.end(sent, AttemptOutcome.OK);
    }
    s.run(600_000);
    assertEquals(6, s.sent.stream().map(Script.Sent::part).distinct().count());
  }

  @Test
  void partialAnswersKeepTheFloorAndAreNotMarkedWhole() {
    Sites site = new Sites();
    site.floor = 0.5;
    Script s = pair(site);
    s.query(0, LONG, 0, 1);
    s.query(0, LONG, 2, 3, 4);
    s.end(s.sent.get(0), AttemptOutcome.OK);
    s.end(s.sent.get(2), AttemptOutcome.OK);
    s.run(LONG);
    assertTrue(s.done.contains("answer 1 partial"));
    assertTrue(s.done.stream().anyMatch(d -> d.startsWith("refuse 2")));
  }

  @Test
  void aSecondStepNeedsAllItsParts() {
    Sites site = new Sites();
    site.followUp = 2;
    Script s = pair(site);
    s.query(0, LONG, 0, 1);
    answerAll(s);
    assertEquals(List.of("answer 1 whole"), s.done);
    s.sent.clear();
    s.event(new BalancerEvent.PartArrived(150, 1, 0, 0.5, 0));
    s.event(new BalancerEvent.PartArrived(151, 1, 1, 0.5, 0));
    assertEquals(2, s.sent.size());
    s.end(s.sent.get(0), AttemptOutcome.OK);
    assertEquals(1, s.done.size());
    s.end(s.sent.get(1), AttemptOutcome.OK);
    assertEquals(List.of("answer 1 whole", "answer 1 whole"), s.done);
  }

  // budget

  @Test
  void furtherAttemptsStayWithinTheBudget() {
    Sites site = new Sites();
    site.ratio = 0.1;
    site.free = 2;
    Script s = pair(site);
    for (int i = 0; i < 5; i++) {
      s.query(0, LONG, 0);
    }
    for (int round = 0; round < 4; round++) {
      for (Script.Sent sent : List.copyOf(s.sent)) {
        s.end(sent, AttemptOutcome.ERROR);
      }
    }
    s.run(LONG);
    assertEquals(5 + 3, s.sent.size(), "2 free and a tenth of 10 queries and parts");
  }

  // failures found

  @Test
  void fastErrorsDoNotDrawParts() {
    Script s = pair(new Sites());
    warmUp(s, 20);
    s.query(0, LONG, 0);
    int bad = s.last().server();
    s.end(s.last(), AttemptOutcome.ERROR);
    assertNotEquals(bad, s.last().server(), "tried elsewhere at once");
    s.end(s.last(), AttemptOutcome.OK);
    s.sent.clear();
    s.query(0, LONG, 0, 1);
    assertTrue(s.sent.stream().noneMatch(x -> x.server() == bad));
    s.run(20_000_000);
    answerAll(s);
    s.sent.clear();
    s.query(0, LONG, 0, 1);
    assertTrue(s.sent.stream().anyMatch(x -> x.server() == bad), "its debt has decayed");
  }

  @Test
  void overdueServersAreAvoidedAndLatePartsCopied() {
    Script s = pair(new Sites());
    warmUp(s, 80);
    s.query(0, LONG, 0);
    Script.Sent stuck = s.last();
    int hung = stuck.server();
    for (int i = 0; i < 50 && s.sent.size() < 2; i++) {
      s.run(10_000);
    }
    assertEquals(2, s.serversOf(s.last().part()).size());
    s.run(90_000);
    s.end(s.last(), AttemptOutcome.OK);
    s.run(700_000);
    s.end(stuck, AttemptOutcome.CANCELLED);
    s.sent.clear();
    s.query(0, LONG, 1, 2);
    assertTrue(s.sent.stream().noneMatch(x -> x.server() == hung));
  }

  @Test
  void busyServersKeepTheirLateParts() {
    Sites site = new Sites();
    site.parallel = false;
    Script s = pair(site);
    warmUp(s, 80);
    s.query(0, LONG, 0, 0, 0, 0, 0, 0);
    List<Script.Sent> sent = List.copyOf(s.sent);
    Script.Sent late = sent.get(0);
    for (Script.Sent each : sent) {
      if (each != late) {
        s.run(60_000);
        s.end(each, AttemptOutcome.OK);
      }
    }
    assertTrue(s.done.isEmpty(), "nothing was cancelled: " + s.done);
  }

  @Test
  void aQueryThatCannotBeAnsweredEndsAtOnce() {
    Sites site = new Sites();
    site.maxAttempts = 1;
    Script s = pair(site);
    s.query(0, LONG, 0, 1);
    s.end(s.sent.get(0), AttemptOutcome.ERROR);
    assertEquals(List.of("refuse 1 200000", "cancel 101 0"), s.done);
  }

  @Test
  void whatCannotBeServedInTimeIsRefusedAtOnceAndTheRestIsSent() {
    Script s = pair(new Sites());
    for (int i = 0; i < 60; i++) {
      s.query(0, LONG, 0);
    }
    int sent = s.sent.size();
    assertTrue(sent >= 6 && sent < 30, "sent: " + sent);
    assertEquals(60 - sent, s.done.stream().filter(d -> d.startsWith("refuse")).count());
    answerAll(s);
    s.sent.clear();
    s.query(0, LONG, 0);
    assertEquals(1, s.sent.size(), "the moment servers are free, queries are taken again");
  }

  @Test
  void aPartialClassLeavesOutWhatWouldComeTooLate() {
    Sites site = new Sites();
    site.floor = 0.4;
    site.inARow = 1;
    Script s = pair(site);
    for (int i = 0; i < 60; i++) {
      s.query(0, LONG, 0);
    }
    s.sent.clear();
    s.done.clear();
    int q = s.query(0, LONG, 0, 1, 3, 5);
    assertEquals(3, s.sent.size(), "the shard on the full server is left out");
    answerAll(s);
    assertEquals(List.of("answer " + q + " partial"), s.done);
  }

  @Test
  void atTheLimitATenantBeyondItsShareIsRefusedFirst() {
    Sites site = new Sites();
    site.tenants = List.of(new Tenant("one", 5, 0.5), new Tenant("two", 5, 0.5));
    Script s = pair(site);
    int[] let = new int[2];
    for (int i = 1; i <= 600; i++) {
      int tenant = i % 6 == 0 ? 1 : 0;
      s.event(new BalancerEvent.QueryArrived(i, i, 0, tenant, 1, s.now + LONG, 0, false));
      int before = s.sent.size();
      s.event(new BalancerEvent.PartArrived(i * 100, i, i % 8, 1, 0));
      let[tenant] += s.sent.size() > before ? 1 : 0;
      s.run(20_000);
      if (i % 4 == 0) {
        s.end(s.sent.remove(0), AttemptOutcome.OK);
      }
    }
    assertTrue(
        let[1] / 100.0 > 1.5 * let[0] / 500.0,
        "let in: " + let[0] + " of 500, " + let[1] + " of 100");
  }

  @Test
  void anOutageDoesNotCloseTheRest() {
    Sites site = new Sites();
    site.inARow = 1;
    Script s = pair(site);
    s.change(Sites.ready(3, 1));
    for (int i = 0; i < 40; i++) {
      s.query(0, 400_000, 0);
      for (int step = 0; step < 100; step++) {
        List<Script.Sent> failing = List.copyOf(s.sent);
        s.sent.clear();
        failing.forEach(sent -> s.end(sent, AttemptOutcome.CONNECT_FAILED));
        s.run(4_000);
      }
    }
    s.done.clear();
    for (int i = 0; i < 5; i++) {
      s.query(0, LONG, 1);
    }
    assertEquals(5, s.sent.size(), "the other shard is served in full");
  }

  // discovery, probes, settings

  @Test
  void subscribesAgainAfterAFailureWhereTheListMustBeAskedFor() {
    Sites site = new Sites();
    site.ask = true;
    Script s = pair(site);
    assertEquals(List.of("subscribe"), s.done);
    s.event(new BalancerEvent.ServerListUpdated(ServerListKind.FAILED, List.of()));
    s.run(2_000_000);
    assertEquals(2, s.done.stream().filter("subscribe"::equals).count());
    s.query(0, LONG, 0);
    assertEquals(1, s.sent.size(), "the old list stays in use");
  }

  @Test
  void aQuietAggregatorProbesBeforeItSendsAndGoesWhereThereIsRoom() {
    Sites site = new Sites();
    site.probes = true;
    Script s = pair(site);
    warmUp(s, 20);
    s.event(new BalancerEvent.HealthCheckCompleted(1, AttemptOutcome.OK, 2_000, new float[] {0}));
    s.event(new BalancerEvent.HealthCheckCompleted(2, AttemptOutcome.OK, 2_000, new float[] {0}));
    s.run(20_000_000);
    s.query(0, LONG, 0);
    assertTrue(
        !s.done.isEmpty() && s.done.stream().allMatch(d -> d.startsWith("probe")),
        "done: " + s.done);
    assertTrue(s.sent.isEmpty(), "it waits for them");
    s.event(new BalancerEvent.HealthCheckCompleted(1, AttemptOutcome.OK, 2_000, new float[] {9}));
    s.event(new BalancerEvent.HealthCheckCompleted(2, AttemptOutcome.OK, 2_000, new float[] {0}));
    assertEquals(List.of(2), s.sent.stream().map(Script.Sent::server).toList());
    s.query(0, LONG, 0);
    assertEquals(2, s.sent.size(), "what was just heard is enough for the next");
  }

  @Test
  void probesThatDoNotComeBackHoldAQueryOnlyAMoment() {
    Sites site = new Sites();
    site.probes = true;
    Script s = pair(site);
    warmUp(s, 20);
    s.event(new BalancerEvent.HealthCheckCompleted(1, AttemptOutcome.OK, 2_000, new float[] {0}));
    s.event(new BalancerEvent.HealthCheckCompleted(2, AttemptOutcome.OK, 2_000, new float[] {0}));
    s.run(20_000_000);
    s.query(0, LONG, 0);
    assertTrue(s.sent.isEmpty());
    s.run(50_000);
    assertEquals(1, s.sent.size());
  }

  /**
   * Where many aggregators send each server little, a new one is not heard of for long; it is not
   * busy for that.
   */
  @Test
  void aColdServerThatWasNotHeardOfIsNotTakenForAsBusyAsTheOthers() {
    Script s = pair(new Sites());
    for (int i = 0; i < 200; i++) {
      s.query(0, LONG, 0);
      s.run(20_000);
      s.end(s.last(), AttemptOutcome.OK, 8);
    }
    s.change(Sites.fresh(3, 0, s.now));
    s.run(3_000_000);
    s.sent.clear();
    for (int i = 0; i < 10; i++) { // the warm ones are heard of all the time
      s.query(0, LONG, 0);
      s.run(20_000);
      s.end(s.last(), AttemptOutcome.OK, s.last().server() == 3 ? 0 : 8);
    }
    long cold = s.sent.stream().filter(x -> x.server() == 3).count();
    assertTrue(cold >= 3, "sent to the cold one: " + cold);
  }

  /**
   * Each aggregator alone is quiet, so each probes: what all spend together goes by what a probe
   * costs.
   */
  @Test
  void theDearerProbesAreTheFewerAreSent() {
    long cheap = probesOfSparseQueries(0.012);
    long dear = probesOfSparseQueries(0.08);
    assertTrue(cheap >= 15, "probes at the usual price: " + cheap);
    assertTrue(dear <= 5, "probes at seven times the price: " + dear);
  }

  private static long probesOfSparseQueries(double price) {
    Sites site = new Sites();
    site.probes = true;
    site.probePrice = price;
    Script s = pair(site);
    for (int i = 0; i < 50; i++) { // two parts in 2 s: what was reported is old each time
      s.query(0, LONG, 0, 1);
      s.run(100_000);
      for (Script.Sent sent : List.copyOf(s.sent)) {
        s.end(sent, AttemptOutcome.OK, 0);
      }
      s.sent.clear();
      for (int server = 1; server <= 2; server++) {
        s.event(
            new BalancerEvent.HealthCheckCompleted(
                server, AttemptOutcome.OK, 2_000, new float[] {0}));
      }
      s.run(1_900_000);
    }
    return s.done.stream().filter(d -> d.startsWith("probe")).count();
  }

  @Test
  void whenTheWayToAZoneIsSlowItsServersAreLeftWhateverTheyReport() {
    Sites site = new Sites();
    site.parallel = false;
    Script s = new Script(site.build());
    s.list(
        new ServerEntry(1, 0, 0, ServerState.READY, 1, 0),
        new ServerEntry(2, 1, 1, ServerState.READY, 1, 0));
    int avoided = 0;
    for (int i = 0; i < 50; i++) {
      s.sent.clear();
      s.query(0, LONG, 0, 1);
      List<Script.Sent> first = List.copyOf(s.sent);
      s.run(100_000);
      first.stream().filter(x -> x.server() == 1).forEach(x -> s.end(x, AttemptOutcome.OK, 0));
      s.run(i < 20 ? 1_000 : 300_000);
      first.stream().filter(x -> x.server() == 2).forEach(x -> s.end(x, AttemptOutcome.OK, 0));
      avoided += first.stream().allMatch(x -> x.server() == 1) ? 1 : 0;
      assertTrue(i >= 20 || avoided == 0, "both serve while the way is good");
    }
    assertTrue(avoided >= 10 && avoided < 30, "left, but tried now and then: " + avoided);
  }

  @Test
  void aMarkedRepeatWhoseAimHasPassedIsRefusedAtOnce() {
    Script s = pair(new Sites());
    s.query(0, LONG, 0);
    s.event(new BalancerEvent.QueryArrived(9, 9, 0, 0, 1, s.now + LONG - 1_200_000, 0, true));
    s.event(new BalancerEvent.PartArrived(900, 9, 1, 1, 0));
    assertEquals(List.of("refuse 9 800000"), s.done);
    s.event(new BalancerEvent.QueryArrived(10, 10, 0, 0, 1, s.now + LONG - 300_000, 0, true));
    s.event(new BalancerEvent.PartArrived(1000, 10, 1, 1, 0));
    assertEquals(2, s.sent.size(), "one that still has time is taken");
  }

  @Test
  void settingsThatCannotBeAreRejectedByName() {
    Exception e =
        assertThrows(IllegalArgumentException.class, () -> new ShardLayout(0, 1, 1, 1, 0));
    assertTrue(e.getMessage().contains("layout.cells"));
    Sites site = new Sites();
    site.need = 1.5;
    e = assertThrows(IllegalArgumentException.class, site::build);
    assertTrue(e.getMessage().contains("classes.need"));
    assertThrows(
        IllegalArgumentException.class,
        () ->
            new Settings(
                1, List.of(), 0, 5, List.of(), List.of(), 1, null, null, null, null, false, false,
                false, List.of(), false));
  }

  // the aim first, and answers in part

  /**
   * The way to the client takes as long where turns are short: an answer that leaves just before
   * the aim is late.
   */
  @Test
  void aShortTickLeavesAnAnswerAtTheAimNoLessTimeToArrive() {
    Sites site = new Sites();
    site.tickUs = 1_000;
    site.floor = 0.5;
    site.lateWeight = 0.1;
    Script s = pair(site);
    s.query(0, LONG, 0, 1);
    s.end(s.sent.get(0), AttemptOutcome.OK);
    s.run(990_000); // the aim is at 1 s
    assertTrue(s.done.contains("answer 1 partial"), "10 ms before the aim: " + s.done);
  }

  @Test
  void whatIsInAtTheAimIsWorthMoreThanLateness() {
    Sites site = new Sites();
    site.floor = 0.5;
    site.lateWeight = 0.1;
    Script s = pair(site);
    s.query(0, LONG, 0, 1, 2, 3);
    for (Script.Sent sent : List.copyOf(s.sent.subList(0, 3))) {
      s.end(sent, AttemptOutcome.OK);
    }
    s.run(900_000);
    assertFalse(
        s.done.stream().anyMatch(d -> d.startsWith("answer")), "whole may still come: " + s.done);
    s.run(100_000);
    assertTrue(s.done.contains("answer 1 partial"), "at the aim: " + s.done);
  }

  @Test
  void whatMustBeWholeGoesOnPastTheAimWhereLateIsWorthSomething() {
    Sites site = new Sites();
    site.lateWeight = 0.3;
    Script s = pair(site);
    s.query(0, LONG, 0);
    s.run(2_000_000);
    s.end(s.last(), AttemptOutcome.OK);
    assertTrue(s.done.contains("answer 1 whole"), "late: " + s.done);
  }

  @Test
  void aFirstAnswerInPartLeavesTimeForTheSecondStep() {
    Sites site = new Sites();
    site.followUp = 2;
    site.floor = 0.4;
    Script s = pair(site);
    s.query(0, LONG, 0, 1, 2, 3);
    s.end(s.sent.get(0), AttemptOutcome.OK);
    s.end(s.sent.get(1), AttemptOutcome.OK);
    s.run(850_000);
    assertTrue(s.done.contains("answer 1 partial"), "with time left: " + s.done);
    int before = s.sent.size();
    s.event(new BalancerEvent.PartArrived(150, 1, 0, 0.5, 0));
    s.event(new BalancerEvent.PartArrived(151, 1, 1, 0.5, 0));
    assertEquals(before + 2, s.sent.size());
    s.end(s.sent.get(before), AttemptOutcome.OK);
    s.run(200_000);
    assertEquals(
        2, s.done.stream().filter("answer 1 partial"::equals).count(), "what is in: " + s.done);
  }

  @Test
  void aSecondStepWhosePartsNeverComeEndsInTime() {
    Sites site = new Sites();
    site.followUp = 2;
    site.floor = 0.4;
    Script s = pair(site);
    s.query(0, LONG, 0, 1);
    answerAll(s);
    s.run(1_100_000);
    assertEquals(
        1, s.done.stream().filter(d -> d.startsWith("refuse 1")).count(), "ended: " + s.done);
  }

  // queries that bring down what runs them

  private static Script wide(Sites site) {
    Script s = new Script(site.build());
    List<ServerEntry> all = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      all.add(Sites.ready(i + 1, i % 2));
    }
    s.event(new BalancerEvent.ServerListUpdated(ServerListKind.FULL, all));
    return s;
  }

  @Test
  void onePartOfAWideQueryGoesAheadAndTheRestFollow() {
    Script s = wide(new Sites());
    s.query(0, LONG, 0, 1, 2, 3, 4, 5, 6, 7);
    assertEquals(1, s.sent.size());
    s.end(s.last(), AttemptOutcome.OK);
    assertEquals(8, s.sent.size());
  }

  @Test
  void theRestAlsoFollowsWhenTheFirstIsSilent() {
    Script s = wide(new Sites());
    s.query(0, LONG, 0, 1, 2, 3, 4, 5, 6, 7);
    s.run(200_000);
    assertTrue(s.sent.size() >= 8, "sent: " + s.sent.size());
  }

  @Test
  void aQueryThatBringsDownWhatRunsItCostsTwoServers() {
    Script s = wide(new Sites());
    s.query(0, LONG, 0, 1, 2, 3, 4, 5, 6, 7);
    while (s.done.stream().noneMatch(d -> d.startsWith("refuse 1")) && s.sent.size() < 30) {
      s.end(s.last(), AttemptOutcome.RESET);
    }
    assertEquals(2, s.sent.size());
    s.run(LONG);
    assertEquals(2, s.sent.size());
  }

  /**
   * A spoilt answer ends its connection, and what else was out there with it: that is no query's
   * fault.
   */
  @Test
  void connectionsLostAtServersThatAnswerOthersDoNotMakeTheQuerySuspect() {
    Script s = pair(new Sites());
    s.query(0, LONG, 0);
    Script.Sent first = s.last();
    s.query(0, LONG, 0);
    Script.Sent other = s.last();
    s.end(first, AttemptOutcome.RESET);
    Script.Sent second = s.last();
    assertNotEquals(first.server(), second.server());
    s.query(0, LONG, 0, 1);
    s.run(1_000);
    s.sent.stream()
        .filter(x -> x.part() >= 300 && x.server() == first.server())
        .findFirst()
        .ifPresent(x -> s.end(x, AttemptOutcome.OK));
    s.end(other, AttemptOutcome.OK);
    s.end(second, AttemptOutcome.RESET);
    assertTrue(s.done.stream().noneMatch(d -> d.startsWith("refuse")), "goes on: " + s.done);
    assertEquals(3, s.serversOf(100).size());
  }

  /**
   * An aggregator short of processor time reads late and answers late: it takes what it can still
   * do in time.
   */
  @Test
  void whatAnAggregatorIsTooLateForItselfIsRefusedAtOnce() {
    Script s = pair(new Sites());
    s.now += 700_000; // all that was due meanwhile rings late
    s.run(0);
    s.query(0, LONG, 0);
    assertTrue(s.done.stream().anyMatch(d -> d.startsWith("refuse 1")), "done: " + s.done);
    s.run(500_000);
    s.query(0, LONG, 0);
    assertEquals(1, s.serversOf(200).size());
  }

  /**
   * What could not be sent to anyone is told while its client can still ask again; late, it costs
   * more.
   */
  @Test
  void whatNobodyCouldTakeIsRefusedBeforeHalfOfItsTimeIsOver() {
    Sites site = new Sites();
    site.lateWeight = 0.3;
    Script s = new Script(site.build());
    s.list(Sites.ready(1, 0));
    s.query(0, LONG, 0);
    s.change(Sites.in(1, 0, ServerState.GONE));
    s.end(s.last(), AttemptOutcome.CONNECT_FAILED);
    s.run(LONG / 3);
    assertTrue(
        s.done.stream().noneMatch(d -> d.startsWith("refuse")), "a store may come: " + s.done);
    s.run(LONG / 6);
    assertTrue(s.done.stream().anyMatch(d -> d.startsWith("refuse")), "done: " + s.done);
  }

  @Test
  void partsLostTogetherAtOneServerDoNotMakeTheQuerySuspect() {
    Script s = new Script(new Sites().build());
    s.list(Sites.ready(1, 0));
    s.query(0, LONG, 0, 1, 2);
    for (Script.Sent sent : List.copyOf(s.sent)) {
      s.end(sent, AttemptOutcome.RESET);
    }
    assertTrue(s.done.stream().noneMatch(d -> d.startsWith("refuse")), "goes on: " + s.done);
  }

  @Test
  void aCrashDoesNotMakeTheQuerySuspectOnceAPartIsAnswered() {
    Script s = wide(new Sites());
    s.query(0, LONG, 0, 1, 2, 3, 4, 5, 6, 7);
    s.end(s.sent.get(0), AttemptOutcome.OK);
    s.end(s.sent.get(1), AttemptOutcome.RESET);
    s.end(s.sent.get(2), AttemptOutcome.RESET);
    assertTrue(s.done.stream().noneMatch(d -> d.startsWith("refuse")), "goes on: " + s.done);
    assertTrue(s.sent.size() >= 10, "sent again: " + s.sent.size());
  }

  @Test
  void workThatNobodyWillWaitForTimesOutAtTheAim() {
    Sites site = new Sites();
    site.floor = 0.5;
    site.lateWeight = 0.1;
    Script s = pair(site);
    s.query(0, LONG, 0, 1);
    assertTrue(s.last().timeOutUs() <= 1_000_000, "time-out: " + s.last().timeOutUs());
  }

  // many aggregators

  @Test
  void manyAggregatorsToldOfAFreshServerDoNotAllSendAtOnce() {
    int started = 0;
    for (int seed = 0; seed < 60; seed++) {
      Sites site = new Sites();
      site.brokers = 60;
      Script s = new Script(site.build(), seed);
      s.list(Sites.ready(1, 0), Sites.fresh(2, 1, s.now - 1_000));
      for (int shard = 0; shard < 3; shard++) {
        s.query(0, LONG, shard);
      }
      started += (int) s.sent.stream().filter(x -> x.server() == 2).count();
    }
    assertTrue(started < 15, "sent at once to a server with a fifth of its capacity: " + started);
    int later = 0;
    for (int seed = 0; seed < 60; seed++) {
      Sites site = new Sites();
      site.brokers = 60;
      Script s = new Script(site.build(), seed);
      s.list(Sites.ready(1, 0), Sites.fresh(2, 1, s.now - 1_000));
      s.query(0, LONG, 0);
      s.run(5_000_000);
      s.query(0, LONG, 0, 1, 2);
      later += s.sent.stream().anyMatch(x -> x.server() == 2) ? 1 : 0;
    }
    assertTrue(later > 2 && later < 50, "one after the other: " + later);
  }

  @Test
  void debtOutlivesTheTimeUntilTheNextTurnOfAServer() {
    Script s = pair(new Sites());
    s.query(0, LONG, 0);
    int bad = s.last().server();
    s.run(10_000);
    s.end(s.last(), AttemptOutcome.ERROR);
    s.end(s.last(), AttemptOutcome.OK);
    s.run(9_000_000);
    s.query(0, LONG, 0, 1);
    assertFalse(s.serversOf(200).contains(bad) || s.serversOf(201).contains(bad), "both elsewhere");
  }

  @Test
  void theOwnZoneIsKeptToWhileTheWaitThereIsShortAgainstTheAim() {
    Sites site = new Sites();
    site.crossing = 0.04;
    Script s = new Script(site.build());
    s.list(
        new ServerEntry(1, 0, 0, ServerState.READY, 1, 0),
        new ServerEntry(2, 1, 1, ServerState.READY, 1, 0));
    s.query(0, LONG, 0, 1, 2, 3, 4, 5);
    assertEquals(
        List.of(1, 1),
        List.of(s.serversOf(100).get(0), s.serversOf(101).get(0)),
        "no reason to cross");
    assertTrue(s.sent.stream().anyMatch(x -> x.server() == 2), "a long one is: " + s.sent);
  }

  @Test
  void aServerThatFailsByTurnsIsNotTrustedAfterOneAnswer() {
    Script s = new Script(new Sites().build());
    s.list(Sites.ready(1, 0), Sites.in(2, 1, ServerState.DRAINING));
    for (int turn = 0; turn < 5; turn++) {
      s.query(0, LONG, 0);
      s.end(s.last(), AttemptOutcome.ERROR);
      while (s.last().server() == 1 && s.serversOf(s.last().part()).size() < 3) {
        s.end(s.last(), AttemptOutcome.ERROR);
      }
      s.end(s.last(), AttemptOutcome.OK);
    }
    s.query(0, LONG, 0);
    s.end(s.last(), AttemptOutcome.OK);
    s.list(Sites.ready(1, 0), Sites.ready(2, 1));
    s.run(4_000_000);
    s.query(0, LONG, 0, 1, 2, 3);
    assertTrue(s.sent.stream().filter(x -> x.atUs() == s.now && x.server() == 2).count() >= 3);
  }

  @Test
  void anAnswerFarBeyondTheForeseenLeavesDebt() {
    for (int i = 0; i < 6; i++) {
      Script s = pair(new Sites());
      warmUp(s, 12 + i);
      s.query(0, LONG, 0);
      int slow = s.last().server();
      s.run(700_000);
      for (Script.Sent sent : List.copyOf(s.sent)) {
        s.end(sent, AttemptOutcome.OK);
      }
      s.query(0, LONG, 0);
      assertNotEquals(slow, s.last().server());
    }
  }

  // connections dropped unseen

  /** Turns far apart, each to one server; {@code lost}: nothing comes back. */
  private static void turns(Script s, int count, long apartUs, boolean lost) {
    for (int i = 0; i < count; i++) {
      s.run(apartUs);
      s.query(0, LONG, 0);
      Script.Sent sent = s.last();
      boolean shut = s.done.contains("release " + sent.server());
      s.run(50_000);
      s.end(sent, lost && !shut ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK);
    }
  }

  @Test
  void idleConnectionsThatLosePartsAreShutBeforeASend() {
    Sites site = new Sites();
    site.parallel = false;
    site.maxAttempts = 1;
    Script s = pair(site);
    turns(s, 12, 3_000_000, true);
    assertTrue(s.done.stream().anyMatch(d -> d.startsWith("release")), "shut: " + s.done);
  }

  @Test
  void connectionsInUseAreKeptWhateverIsLost() {
    Sites site = new Sites();
    site.parallel = false;
    site.maxAttempts = 1;
    Script s = new Script(site.build());
    s.list(Sites.ready(1, 0));
    turns(s, 30, 100_000, true);
    assertFalse(s.done.stream().anyMatch(d -> d.startsWith("release")), "kept: " + s.done);
    turns(s, 20, 3_000_000, false);
    assertFalse(s.done.stream().anyMatch(d -> d.startsWith("release")), "kept: " + s.done);
  }
}
