package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Properties of the load balancer as a whole. */
class LoadBalancerTest {
  @Test
  void sameEventsGiveTheSameActions() {
    BalancerHarness one = BalancerHarness.withTwoServers(new SettingsBuilder());
    BalancerHarness two = BalancerHarness.withTwoServers(new SettingsBuilder());
    for (BalancerHarness balancer : List.of(one, two)) {
      for (int i = 0; i < 20; i++) {
        balancer.query(0, CLIENT_TIMEOUT_US, i % 8, (i + 3) % 8);
        balancer.advance(30_000);
      }
    }
    assertEquals(one.sends, two.sends);
    assertEquals(one.actions, two.actions);
  }

  /**
   * The release of an attempt may arrive before the event that ends the attempt, because the caller
   * may defer that event.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aPartIsRetriedOnceItsAttemptHasEndedAndIsReleased(boolean releasedFirst) {
    SettingsBuilder settings = new SettingsBuilder();
    settings.parallelAttempts = false;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    BalancerHarness.SentAttempt first = balancer.lastSent();
    BalancerEvent end =
        new BalancerEvent.AttemptCompleted(
            first.part(), 0, AttemptOutcome.TIMEOUT, first.server(), 5, false, new float[0], true);
    BalancerEvent release = new BalancerEvent.AttemptReleased(first.part());
    balancer.handle(releasedFirst ? release : end);
    balancer.advance(100_000);
    assertEquals(1, balancer.sends.size());
    balancer.handle(releasedFirst ? end : release);
    assertEquals(2, balancer.sends.size());
    balancer.complete(balancer.lastSent(), AttemptOutcome.ERROR);
    assertEquals(3, balancer.sends.size(), "an attempt whose end is confirmed needs no release");
  }

  @Test
  void unexpectedEventsAreIgnoredAndTheLedgerStaysBalanced() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    BalancerHarness.SentAttempt first = balancer.lastSent();
    balancer.handle(new BalancerEvent.ClientDisconnected(1));
    balancer.handle(new BalancerEvent.ClientDisconnected(1));
    balancer.handle(new BalancerEvent.ClientDisconnected(999));
    balancer.handle(
        new BalancerEvent.AttemptCompleted(999, 0, AttemptOutcome.OK, 1, 5, true, new float[0]));
    balancer.handle(new BalancerEvent.TimerFired(123456));
    balancer.handle(
        new BalancerEvent.HealthCheckCompleted(77, AttemptOutcome.OK, 5, new float[] {1}));
    balancer.handle(new BalancerEvent.PeerMessageReceived(3, new byte[] {1}));
    balancer.handle(new BalancerEvent.PartArrived(5, 99, 0, 1, 0));
    balancer.complete(first, AttemptOutcome.CANCELLED);
    balancer.complete(first, AttemptOutcome.OK);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    assertNotEquals(balancer.serversOf(200), balancer.serversOf(201));
  }
}
