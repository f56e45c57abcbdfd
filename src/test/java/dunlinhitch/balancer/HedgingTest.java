package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Spare parts, hedged attempts and moves of late parts. */
class HedgingTest {
  @Test
  void aLatePartIsReplacedByTheSpare() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.need = 0.67;
    settings.floor = 0.67;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.answerQueries(80);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3, 4, 5);
    for (BalancerHarness.SentAttempt sent : List.copyOf(balancer.sends).subList(0, 4)) {
      balancer.complete(sent, AttemptOutcome.OK);
    }
    balancer.advance(600_000);
    assertEquals(
        6, balancer.sends.stream().map(BalancerHarness.SentAttempt::part).distinct().count());
  }

  @Test
  void unresponsiveServersAreAvoidedAndLatePartsHedged() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.answerQueries(80);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    BalancerHarness.SentAttempt late = balancer.lastSent();
    int unresponsive = late.server();
    for (int i = 0; i < 50 && balancer.sends.size() < 2; i++) {
      balancer.advance(10_000);
    }
    assertEquals(2, balancer.serversOf(balancer.lastSent().part()).size());
    balancer.advance(90_000);
    balancer.complete(balancer.lastSent(), AttemptOutcome.OK);
    balancer.advance(700_000);
    balancer.complete(late, AttemptOutcome.CANCELLED);
    balancer.sends.clear();
    balancer.query(0, CLIENT_TIMEOUT_US, 1, 2);
    assertTrue(balancer.sends.stream().noneMatch(attempt -> attempt.server() == unresponsive));
  }

  @Test
  void latePartsAreNotMovedOffBusyServers() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.parallelAttempts = false;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.answerQueries(80);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 0, 0, 0, 0, 0);
    List<BalancerHarness.SentAttempt> sent = List.copyOf(balancer.sends);
    BalancerHarness.SentAttempt late = sent.get(0);
    for (BalancerHarness.SentAttempt each : sent) {
      if (!each.equals(late)) {
        balancer.advance(60_000);
        balancer.complete(each, AttemptOutcome.OK);
      }
    }
    assertTrue(balancer.actions.isEmpty(), "no attempt was cancelled: " + balancer.actions);
  }
}
