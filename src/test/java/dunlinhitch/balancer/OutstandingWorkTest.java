package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The ledger of outstanding work, and the load reports of other brokers' work. */
class OutstandingWorkTest {
  @Test
  void laterPartsOfAQueryAreChargedAfterTheEarlierOnes() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3);
    assertEquals(2, balancer.sends.stream().filter(attempt -> attempt.server() == 1).count());
    assertEquals(2, balancer.sends.stream().filter(attempt -> attempt.server() == 2).count());
  }

  @Test
  void workIsReleasedWhenAnAttemptEnds() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3);
    for (BalancerHarness.SentAttempt sent : List.copyOf(balancer.sends)) {
      if (sent.server() == 2) {
        balancer.complete(sent, AttemptOutcome.OK);
      }
    }
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    assertEquals(List.of(2), balancer.serversOf(200));
    assertEquals(List.of(2), balancer.serversOf(201));
  }

  @Test
  void selectionFollowsLoadReports() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    for (BalancerHarness.SentAttempt sent : List.copyOf(balancer.sends)) {
      balancer.complete(sent, AttemptOutcome.OK, sent.server() == 1 ? 20 : 0);
    }
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    assertEquals(List.of(2), balancer.serversOf(200));
    assertEquals(List.of(2), balancer.serversOf(201));
  }

  @Test
  void invalidReportsLeaveTheEstimateFinite() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    float[] bad = {Float.NaN, Float.NEGATIVE_INFINITY, -5, 1e30f};
    for (float value : bad) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
      for (BalancerHarness.SentAttempt sent : List.copyOf(balancer.sends)) {
        balancer.complete(sent, AttemptOutcome.OK, value);
      }
      balancer.sends.clear();
    }
    balancer.advance(20_000_000);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    Set<Integer> used = new HashSet<>(balancer.serversOf(500));
    used.addAll(balancer.serversOf(501));
    assertEquals(Set.of(1, 2), used);
  }

  @Test
  void hintsDetermineTheWorkOfParts() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.handle(
        new BalancerEvent.QueryArrived(
            1, 1, 0, 0, 3, balancer.nowUs + CLIENT_TIMEOUT_US, 0, false));
    balancer.handle(new BalancerEvent.PartArrived(100, 1, 0, 0.3, 300_000));
    balancer.handle(new BalancerEvent.PartArrived(101, 1, 0, 0.3, 100_000));
    balancer.handle(new BalancerEvent.PartArrived(102, 1, 0, 0.4, 100_000));
    assertEquals(balancer.serversOf(101), balancer.serversOf(102));
    assertNotEquals(balancer.serversOf(100), balancer.serversOf(101));
  }

  @Test
  void partsOfOneEventShareACall() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.partsPerCall = 8;
    settings.callOverheadUs = 80_000;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.handle(
        new BalancerEvent.QueryArrived(
            1, 1, 0, 0, 1, balancer.nowUs + CLIENT_TIMEOUT_US, 0, false));
    balancer.handle(new BalancerEvent.PartArrived(100, 1, 0, 1, 60_000));
    int busy = balancer.lastSent().server();
    balancer.advance(1_000);
    balancer.handle(
        new BalancerEvent.QueryArrived(
            2, 2, 0, 0, 3, balancer.nowUs + CLIENT_TIMEOUT_US, 0, false));
    balancer.handle(new BalancerEvent.PartArrived(200, 2, 0, 0.3, 10_000));
    balancer.handle(new BalancerEvent.PartArrived(201, 2, 1, 0.3, 60_000));
    balancer.handle(new BalancerEvent.PartArrived(202, 2, 2, 0.4, 10_000));
    // The third part shares the call to the idle server and is charged no further call overhead, so
    // the idle server is still cheaper for it.
    assertTrue(balancer.sends.stream().skip(1).noneMatch(attempt -> attempt.server() == busy));
  }
}
