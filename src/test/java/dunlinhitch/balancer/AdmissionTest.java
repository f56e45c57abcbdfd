package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.settings.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Admission control and load shedding. */
class AdmissionTest {
  @Test
  void queriesThatWouldBeLateAreRejectedImmediatelyAndTheOthersSent() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    for (int i = 0; i < 60; i++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
    }
    int sent = balancer.sends.size();
    assertTrue(sent >= 6 && sent < 30, "sent: " + sent);
    assertEquals(
        60 - sent, balancer.actions.stream().filter(action -> action.startsWith("reject")).count());
    balancer.answerAll();
    balancer.sends.clear();
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    assertEquals(1, balancer.sends.size(), "once servers are idle, queries are admitted again");
  }

  @Test
  void aPartialClassLeavesOutPartsThatWouldBeLate() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.floor = 0.4;
    settings.inARow = 1;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    for (int i = 0; i < 60; i++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
    }
    balancer.sends.clear();
    balancer.actions.clear();
    int query = balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 3, 5);
    assertEquals(3, balancer.sends.size(), "the part on the overloaded server is left out");
    balancer.answerAll();
    assertEquals(List.of("answer " + query + " partial"), balancer.actions);
  }

  @Test
  void underOverloadATenantBeyondItsShareIsRejectedFirst() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.tenants = List.of(new Tenant("one", 5, 0.5), new Tenant("two", 5, 0.5));
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    int[] admitted = new int[2];
    for (int i = 1; i <= 600; i++) {
      int tenant = i % 6 == 0 ? 1 : 0;
      balancer.handle(
          new BalancerEvent.QueryArrived(
              i, i, 0, tenant, 1, balancer.nowUs + CLIENT_TIMEOUT_US, 0, false));
      int before = balancer.sends.size();
      balancer.handle(new BalancerEvent.PartArrived(i * 100, i, i % 8, 1, 0));
      admitted[tenant] += balancer.sends.size() > before ? 1 : 0;
      balancer.advance(20_000);
      if (i % 4 == 0) {
        balancer.complete(balancer.sends.remove(0), AttemptOutcome.OK);
      }
    }
    assertTrue(
        admitted[1] / 100.0 > 1.5 * admitted[0] / 500.0,
        "admitted: " + admitted[0] + " of 500, " + admitted[1] + " of 100");
  }

  @Test
  void anOutageOfOneShardDoesNotAffectTheOthers() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.inARow = 1;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.updateServers(ServerEntries.ready(3, 1));
    for (int i = 0; i < 40; i++) {
      balancer.query(0, 400_000, 0);
      for (int step = 0; step < 100; step++) {
        List<BalancerHarness.SentAttempt> failing = List.copyOf(balancer.sends);
        balancer.sends.clear();
        failing.forEach(sent -> balancer.complete(sent, AttemptOutcome.CONNECT_FAILED));
        balancer.advance(4_000);
      }
    }
    balancer.actions.clear();
    for (int i = 0; i < 5; i++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 1);
    }
    assertEquals(5, balancer.sends.size(), "all parts of the other shard are sent");
  }

  @Test
  void aMarkedRetryAfterItsObjectiveIsRejectedImmediately() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    balancer.handle(
        new BalancerEvent.QueryArrived(
            9, 9, 0, 0, 1, balancer.nowUs + CLIENT_TIMEOUT_US - 1_200_000, 0, true));
    balancer.handle(new BalancerEvent.PartArrived(900, 9, 1, 1, 0));
    assertEquals(List.of("reject 9 800000"), balancer.actions);
    balancer.handle(
        new BalancerEvent.QueryArrived(
            10, 10, 0, 0, 1, balancer.nowUs + CLIENT_TIMEOUT_US - 300_000, 0, true));
    balancer.handle(new BalancerEvent.PartArrived(1000, 10, 1, 1, 0));
    assertEquals(2, balancer.sends.size(), "a retry with time left is admitted");
  }

  /**
   * Guards against a growing backlog at a broker that is short of processor time. Such a broker
   * reads queries late and also delays their answers, so it must reject queries that would be late.
   */
  @Test
  void aLaggingBrokerRejectsQueriesThatWouldBeLate() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    // Advances only the clock, so that the timers due in between fire late.
    balancer.nowUs += 700_000;
    balancer.advance(0);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    assertTrue(
        balancer.actions.stream().anyMatch(action -> action.startsWith("reject 1")),
        "rejected because of the lag: " + balancer.actions);
    balancer.advance(500_000);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    assertEquals(1, balancer.serversOf(200).size());
  }
}
