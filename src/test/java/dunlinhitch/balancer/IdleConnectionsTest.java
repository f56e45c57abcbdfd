package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Detection of connections that were dropped silently. */
class IdleConnectionsTest {
  /**
   * Sends single-part queries at an interval. If {@code lost}, an attempt times out unless the idle
   * connections of its server were closed before.
   */
  private static void sendSparseQueries(
      BalancerHarness balancer, int count, long intervalUs, boolean lost) {
    for (int i = 0; i < count; i++) {
      balancer.advance(intervalUs);
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      BalancerHarness.SentAttempt sent = balancer.lastSent();
      boolean closed = balancer.actions.contains("closeIdle " + sent.server());
      balancer.advance(50_000);
      balancer.complete(sent, lost && !closed ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK);
    }
  }

  @Test
  void idleConnectionsThatLosePartsAreClosedBeforeASend() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.parallelAttempts = false;
    settings.maxAttempts = 1;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    sendSparseQueries(balancer, 12, 3_000_000, true);
    assertTrue(
        balancer.actions.stream().anyMatch(action -> action.startsWith("closeIdle")),
        "idle connections were closed: " + balancer.actions);
  }

  @Test
  void activeConnectionsAreNotClosedDespiteLosses() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.parallelAttempts = false;
    settings.maxAttempts = 1;
    BalancerHarness balancer = new BalancerHarness(settings.build());
    balancer.replaceServers(ServerEntries.ready(1, 0));
    sendSparseQueries(balancer, 30, 100_000, true);
    assertFalse(
        balancer.actions.stream().anyMatch(action -> action.startsWith("closeIdle")),
        "no connection was closed: " + balancer.actions);
    sendSparseQueries(balancer, 20, 3_000_000, false);
    assertFalse(
        balancer.actions.stream().anyMatch(action -> action.startsWith("closeIdle")),
        "no connection was closed: " + balancer.actions);
  }
}
