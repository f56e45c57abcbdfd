package dunlinhitch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A cold store falls by the sum of what all brokers send it, and none of them knows of the others'
 * sends.
 */
class ColdRampTest {
  private static final double[] EVEN = {0.5, 0.5};
  private static final ColdFleet.Site SMALL_BUDGET =
      new ColdFleet.Site(new double[] {120_000, 90_000}, EVEN, 0.6, 0, 0.45, 2, 0.15, 1_000_000);
  private static final ColdFleet.Site DEAR_CALLS =
      new ColdFleet.Site(new double[] {84_000, 67_000}, EVEN, 0.4, 46_000, 0.3, 3, 0.15, 1_500_000);
  private static final ColdFleet.Site HIGH_LOAD =
      new ColdFleet.Site(new double[] {120_000, 90_000}, EVEN, 0.6, 0, 0.8, 2, 0.15, 1_000_000);
  private static final ColdFleet.Site RARE_AND_DEAR =
      new ColdFleet.Site(
          new double[] {400_000, 50_000},
          new double[] {0.15, 0.85},
          0.6,
          0,
          0.8,
          2,
          0.15,
          1_000_000);

  @Test
  void whatAllBrokersSendAColdStoreStaysWithinItsBudgetOnEveryDay() {
    for (ColdFleet.Trouble trouble : ColdFleet.Trouble.values()) {
      for (int many : List.of(3, 20, 30, 100)) {
        ColdFleet day = new ColdFleet(trouble, many, many, SMALL_BUDGET).play();
        String where = trouble + " of " + many + " brokers: ";
        assertTrue(day.worst <= 1, where + day.worst + " of what the rule bears");
        assertTrue(
            day.leastWarm > 0.3, where + "a warm store was sent " + day.leastWarm + " of the mean");
      }
    }
  }

  /**
   * At such load cold stores get more before all have been told; what those send that know of the
   * start stays within.
   */
  @Test
  void atHighLoadThoseThatWereToldStayWithinTheBudget() {
    for (ColdFleet.Trouble trouble : ColdFleet.Trouble.values()) {
      for (int many : List.of(3, 30)) {
        ColdFleet day = new ColdFleet(trouble, many, 1, HIGH_LOAD).play();
        assertTrue(day.worstTold <= 1, trouble + " of " + many + " brokers: " + day.worstTold);
      }
    }
  }

  /**
   * Nothing is known yet of a class that is rare and several times as dear as the mean, least after
   * a restart.
   */
  @Test
  void whatIsNotYetKnownToBeDearIsHeldToItsBudget() {
    for (ColdFleet.Trouble trouble : List.of(ColdFleet.Trouble.KILLED, ColdFleet.Trouble.ROLLED)) {
      for (int seed = 1; seed <= 3; seed++) {
        ColdFleet day = new ColdFleet(trouble, 30, seed, RARE_AND_DEAR).play();
        assertTrue(day.worstTold <= 1, trouble + ", seed " + seed + ": " + day.worstTold);
      }
    }
  }

  /**
   * Where a call costs more than a part the cold stores are used from the start too, though each
   * broker's share is small.
   */
  @Test
  void aHundredBrokersDoNotLeaveTheColdStoresIdle() {
    ColdFleet day = new ColdFleet(ColdFleet.Trouble.HALF, 100, 1, DEAR_CALLS).play();
    assertTrue(day.worst <= 1 && day.used > 0.17, "worst " + day.worst + ", used " + day.used);
    assertTrue(day.served > 0.9, "served: " + day.served);
  }

  /**
   * What is asked for is a tenth of the mean work: a store's first moment may let no more through
   * for that.
   */
  @Test
  void aHundredBrokersDoNotAllSendAtFirstSightWhatIsCheap() {
    double sent = sentByAHundred(0, 10_000, 1);
    double n =
        2 * 0.28 / 0.01; // the rule's multiple of what it can do at the end of that second, in such
    // calls
    assertTrue(sent > 5 && sent <= n + 2 * Math.sqrt(n) + 2, "sent: " + sent);
  }

  /** And what costs more than the mean is not held back by all until that much more has come in. */
  @Test
  void aHundredBrokersBeginAtTheirRateWithWhatIsDear() {
    double sent = sentByAHundred(80_000, 0, 4);
    double n = 2 * 0.52 * 4 / 0.1;
    assertTrue(sent >= 3 && sent <= n, "sent: " + sent);
  }

  private static int sentByAHundred(long callUs, long hintUs, int seconds) {
    int sent = 0;
    for (int seed = 0; seed < 100; seed++) {
      Sites site = new Sites();
      site.brokers = 100;
      site.callUs = callUs;
      Script s = new Script(site.build(), seed);
      s.list(Sites.fresh(1, 0, s.now));
      for (int i = 0; i < 10 * seconds; i++) {
        s.event(new BalancerEvent.QueryArrived(i, i, 0, 0, 1, s.now + 3_000_000, 0, false));
        s.event(new BalancerEvent.PartArrived(1_000 + i, i, 0, 1, hintUs));
        s.run(100_000);
      }
      sent += s.sent.size();
    }
    return sent;
  }

  /**
   * A part is paid for when it is sent, whatever becomes of it: a store may have begun what was
   * reset or given up, and what it turned away has cost it a call. Two processes that are one
   * broker have half each.
   */
  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"CONNECT_FAILED", "RESET", "TIMEOUT", "ERROR", "FULL", "MOOT"})
  void whatBecomesOfAnAttemptGivesNothingBack(AttemptOutcome outcome) {
    for (int processes : List.of(1, 2)) {
      List<Script> all = new ArrayList<>();
      for (int i = 0; i < processes; i++) {
        all.add(new Script(new Sites().build().amongBrokers(processes), i));
        all.get(i).list(Sites.fresh(1, 0, all.get(i).now));
      }
      List<Long> sentAt = new ArrayList<>();
      for (int i = 0; i < 400; i++) {
        Script s = all.get(i % processes);
        all.forEach(one -> one.run(10_000));
        s.query(0, 3_000_000, 0);
        for (Script one : all) {
          while (!one.sent.isEmpty()) { // what is sent again at once ends so too
            Script.Sent sent = one.sent.remove(0);
            sentAt.add(sent.atUs());
            one.end(sent, outcome);
          }
        }
      }
      int most = 0;
      for (long from : sentAt) {
        most =
            (int)
                Math.max(
                    most,
                    sentAt.stream().filter(at -> at >= from && at < from + 1_000_000).count());
      }
      double n =
          2
              * (0.2 + 0.8 * 0.35)
              / 0.1; // at the end of the four seconds, in parts of a tenth of a second
      assertTrue(most >= 3 && most <= n + 2, processes + ": " + most + " in a second, of " + n);
    }
  }

  /**
   * Shares of a call add up: buckets with phases drawn evenly let through what comes in, no more
   * and no less.
   */
  @Test
  void bucketsOfUnevenPhasesLetThroughTheirSumInEachPeriod() {
    TokenBucket[] buckets = new TokenBucket[100];
    for (int i = 0; i < buckets.length; i++) {
      buckets[i] = new TokenBucket();
      buckets[i].reset((i + 1) / 100.0, 0);
    }
    for (int window = 0; window < 40; window++) { // 0.05 of a call a window for each
      int let = 0;
      for (long at = 1; at <= 50; at++) {
        for (TokenBucket b : buckets) {
          if (b.canAfford(1_000, 1, 25, 50L * window + at)) {
            b.spend(1_000);
            let++;
          }
        }
      }
      assertEquals(5, let);
    }
  }
}
