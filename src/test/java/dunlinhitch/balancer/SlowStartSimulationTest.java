package dunlinhitch.balancer;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the total work that many brokers send to a warming server. A warming server fails if that
 * total exceeds its capacity, but each broker has information only about the work that it sends
 * itself.
 */
class SlowStartSimulationTest {
  private static final double[] EVEN_SHARES = {0.5, 0.5};
  private static final SlowStartSite SMALL_BUDGET =
      new SlowStartSite(
          new SlowStartSite.Workload(new double[] {120_000, 90_000}, EVEN_SHARES, 0.6, 0, 0.45),
          new SlowStartSite.Rule(2, 0.15, 1_000_000));
  private static final SlowStartSite EXPENSIVE_CALLS =
      new SlowStartSite(
          new SlowStartSite.Workload(new double[] {84_000, 67_000}, EVEN_SHARES, 0.4, 46_000, 0.3),
          new SlowStartSite.Rule(3, 0.15, 1_500_000));
  private static final SlowStartSite HIGH_LOAD =
      new SlowStartSite(
          new SlowStartSite.Workload(new double[] {120_000, 90_000}, EVEN_SHARES, 0.6, 0, 0.8),
          new SlowStartSite.Rule(2, 0.15, 1_000_000));
  private static final SlowStartSite RARE_AND_EXPENSIVE =
      new SlowStartSite(
          new SlowStartSite.Workload(
              new double[] {400_000, 50_000}, new double[] {0.15, 0.85}, 0.6, 0, 0.8),
          new SlowStartSite.Rule(2, 0.15, 1_000_000));

  @Test
  void allBrokersTogetherStayWithinTheBudgetOfAWarmingServerInEachScenario() {
    for (SlowStartScenario scenario : SlowStartScenario.values()) {
      for (int brokers : List.of(3, 20, 30, 100)) {
        SlowStartSimulation simulation =
            new SlowStartSimulation(scenario, brokers, brokers, SMALL_BUDGET).run();
        String where = scenario + " of " + brokers + " brokers: ";
        assertTrue(
            simulation.load().worstWindow() <= 1,
            where
                + simulation.load().worstWindow()
                + " times the work that the rule allows in the worst window");
        assertTrue(
            simulation.load().minWarmLoad() > 0.3,
            where
                + "the least loaded warm server got "
                + simulation.load().minWarmLoad()
                + " of the mean work");
      }
    }
  }

  /**
   * At high load, brokers that have not been notified of the start still send too much to warming
   * servers. The work sent by notified brokers must stay within the budget.
   */
  @Test
  void atHighLoadNotifiedBrokersStayWithinTheBudget() {
    for (SlowStartScenario scenario : SlowStartScenario.values()) {
      for (int brokers : List.of(3, 30)) {
        SlowStartSimulation simulation =
            new SlowStartSimulation(scenario, brokers, 1, HIGH_LOAD).run();
        assertTrue(
            simulation.load().worstWindowByNotified() <= 1,
            scenario + " of " + brokers + " brokers: " + simulation.load().worstWindowByNotified());
      }
    }
  }

  /**
   * Guards against underestimating a class that is rare and several times as expensive as the mean:
   * brokers have no measurement of it yet, especially after a restart.
   */
  @Test
  void classesNotYetMeasuredStayWithinTheBudget() {
    for (SlowStartScenario scenario :
        List.of(SlowStartScenario.BROKERS_KILLED, SlowStartScenario.ROLLING_RESTART)) {
      for (int seed = 1; seed <= 3; seed++) {
        SlowStartSimulation simulation =
            new SlowStartSimulation(scenario, 30, seed, RARE_AND_EXPENSIVE).run();
        assertTrue(
            simulation.load().worstWindowByNotified() <= 1,
            scenario + ", seed " + seed + ": " + simulation.load().worstWindowByNotified());
      }
    }
  }

  /**
   * Guards against unused warming servers: if calls are expensive and each broker's share of the
   * budget is small, the budget of a single broker takes long to cover one call.
   */
  @Test
  void aHundredBrokersDoNotLeaveWarmingServersIdle() {
    SlowStartSimulation simulation =
        new SlowStartSimulation(SlowStartScenario.HALF_START, 100, 1, EXPENSIVE_CALLS).run();
    assertTrue(
        simulation.load().worstWindow() <= 1 && simulation.load().utilization() > 0.17,
        "work in the worst window as a fraction of the limit: "
            + simulation.load().worstWindow()
            + ", work sent as a fraction of the capacity: "
            + simulation.load().utilization());
    assertTrue(simulation.answeredShare() > 0.9, "answered: " + simulation.answeredShare());
  }

  /**
   * Guards against a burst of cheap parts at the start of a server: parts with a tenth of the mean
   * work must not all be admitted at the same time.
   */
  @Test
  void aHundredBrokersDoNotAllSendCheapPartsSimultaneously() {
    double sent = sendsOfAHundredBrokers(0, 10_000, 1);
    // The limit is 2 (the overload factor) times 0.28 of a core for 1 s, in calls of 10 ms. 0.28 of
    // a core is the capacity at the end of the second.
    double allowed = 2 * 0.28 / 0.01;
    assertTrue(sent > 5 && sent <= allowed + 2 * Math.sqrt(allowed) + 2, "sent: " + sent);
  }

  /**
   * Guards against a delay of expensive parts: if every broker waited until its own budget covers a
   * whole part, warming servers would get none at first.
   */
  @Test
  void aHundredBrokersSendExpensivePartsAtTheirRateFromTheStart() {
    double sent = sendsOfAHundredBrokers(80_000, 0, 4);
    double allowed = 2 * 0.52 * 4 / 0.1;
    assertTrue(sent >= 3 && sent <= allowed, "sent: " + sent);
  }

  private static int sendsOfAHundredBrokers(long callUs, long hintUs, int seconds) {
    int sent = 0;
    for (int seed = 0; seed < 100; seed++) {
      SettingsBuilder settings = new SettingsBuilder();
      settings.brokers = 100;
      settings.callOverheadUs = callUs;
      BalancerHarness balancer = new BalancerHarness(settings.build(), seed);
      balancer.replaceServers(ServerEntries.started(1, 0, balancer.nowUs));
      for (int i = 0; i < 10 * seconds; i++) {
        balancer.handle(
            new BalancerEvent.QueryArrived(i, i, 0, 0, 1, balancer.nowUs + 3_000_000, 0, false));
        balancer.handle(new BalancerEvent.PartArrived(1_000 + i, i, 0, 1, hintUs));
        balancer.advance(100_000);
      }
      sent += balancer.sends.size();
    }
    return sent;
  }

  /**
   * The budget is charged at the send and not refunded for any outcome: a server may have started
   * on an attempt that was reset or timed out, and a rejected attempt has cost it a call. Two
   * processes of one broker get half of the budget each.
   */
  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"CONNECT_FAILED", "RESET", "TIMEOUT", "ERROR", "FULL", "MOOT"})
  void noAttemptOutcomeRefundsTheBudget(AttemptOutcome outcome) {
    for (int processes : List.of(1, 2)) {
      List<BalancerHarness> all = new ArrayList<>();
      for (int i = 0; i < processes; i++) {
        all.add(new BalancerHarness(new SettingsBuilder().build().amongBrokers(processes), i));
        all.get(i).replaceServers(ServerEntries.started(1, 0, all.get(i).nowUs));
      }
      List<Long> sentAt = new ArrayList<>();
      for (int i = 0; i < 400; i++) {
        BalancerHarness balancer = all.get(i % processes);
        all.forEach(harness -> harness.advance(10_000));
        balancer.query(0, 3_000_000, 0);
        for (BalancerHarness harness : all) {
          // An immediate retry gets the same outcome.
          while (!harness.sends.isEmpty()) {
            BalancerHarness.SentAttempt sent = harness.sends.remove(0);
            sentAt.add(sent.atUs());
            harness.complete(sent, outcome);
          }
        }
      }
      int maxPerSecond = 0;
      for (long from : sentAt) {
        maxPerSecond =
            (int)
                Math.max(
                    maxPerSecond,
                    sentAt.stream().filter(at -> at >= from && at < from + 1_000_000).count());
      }
      // The limit is the budget per second at the end of the four seconds, in parts of 0.1 s.
      double allowed = 2 * (0.2 + 0.8 * 0.35) / 0.1;
      assertTrue(
          maxPerSecond >= 3 && maxPerSecond <= allowed + 2,
          processes
              + " processes sent at most "
              + maxPerSecond
              + " parts within a second, allowed: "
              + allowed);
    }
  }
}
