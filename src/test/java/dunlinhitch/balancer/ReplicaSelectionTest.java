package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Selection among replicas in several zones. */
class ReplicaSelectionTest {
  @Test
  void serversBehindASlowNetworkAreAvoidedWhateverTheyReport() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.parallelAttempts = false;
    BalancerHarness balancer = new BalancerHarness(settings.build());
    balancer.replaceServers(
        new ServerEntry(1, 0, 0, ServerState.READY, 1, 0),
        new ServerEntry(2, 1, 1, ServerState.READY, 1, 0));
    int avoided = 0;
    for (int i = 0; i < 50; i++) {
      balancer.sends.clear();
      balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
      List<BalancerHarness.SentAttempt> first = List.copyOf(balancer.sends);
      balancer.advance(100_000);
      first.stream()
          .filter(attempt -> attempt.server() == 1)
          .forEach(attempt -> balancer.complete(attempt, AttemptOutcome.OK, 0));
      balancer.advance(i < 20 ? 1_000 : 300_000);
      first.stream()
          .filter(attempt -> attempt.server() == 2)
          .forEach(attempt -> balancer.complete(attempt, AttemptOutcome.OK, 0));
      avoided += first.stream().allMatch(attempt -> attempt.server() == 1) ? 1 : 0;
      assertTrue(i >= 20 || avoided == 0, "both servers are used while the network is fast");
    }
    assertTrue(avoided >= 10 && avoided < 30, "queries that avoided the remote server: " + avoided);
  }

  @Test
  void theOwnZoneIsPreferredWhileItsWaitIsShort() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.crossZonePrice = 0.04;
    BalancerHarness balancer = new BalancerHarness(settings.build());
    balancer.replaceServers(
        new ServerEntry(1, 0, 0, ServerState.READY, 1, 0),
        new ServerEntry(2, 1, 1, ServerState.READY, 1, 0));
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3, 4, 5);
    assertEquals(
        List.of(1, 1),
        List.of(balancer.serversOf(100).get(0), balancer.serversOf(101).get(0)),
        "the local server is preferred while it is idle");
    assertTrue(
        balancer.sends.stream().anyMatch(attempt -> attempt.server() == 2),
        "the remote server is used once the local wait is long: " + balancer.sends);
  }
}
