package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.settings.Idempotency;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Retries: which attempts may be repeated, and the retry budget. */
class AttemptSenderTest {
  @Test
  void singleShotPartsAreRetriedOnlyWhenNoAttemptRan() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.idempotency = Idempotency.SINGLE_SHOT;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    balancer.complete(balancer.lastSent(), AttemptOutcome.FULL);
    assertEquals(2, balancer.sends.size());
    balancer.complete(balancer.lastSent(), AttemptOutcome.ERROR);
    balancer.advance(CLIENT_TIMEOUT_US);
    assertEquals(2, balancer.sends.size());
    assertEquals(List.of("fail 1"), balancer.actions);
  }

  @Test
  void aSingleShotQueryIsRejectedOnlyWhenNoAttemptRan() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.idempotency = Idempotency.SINGLE_SHOT;
    BalancerHarness balancer = new BalancerHarness(settings.build());
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    balancer.advance(CLIENT_TIMEOUT_US);
    assertEquals(List.of("reject 1 800000"), balancer.actions);
  }

  @Test
  void guardedPartsAreRetriedWithinTheirWindow() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.idempotency = Idempotency.GUARDED;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    balancer.advance(100_000);
    balancer.complete(balancer.lastSent(), AttemptOutcome.ERROR);
    assertEquals(2, balancer.sends.size());
    balancer.advance(450_000);
    int sent = balancer.sends.size();
    balancer.complete(balancer.lastSent(), AttemptOutcome.ERROR);
    balancer.advance(CLIENT_TIMEOUT_US);
    assertEquals(sent, balancer.sends.size());
    assertTrue(balancer.actions.contains("fail 1"));
  }

  @Test
  void noParallelAttemptsIfTheSettingsForbidThem() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.parallelAttempts = false;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.answerQueries(80);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    balancer.advance(950_000);
    assertEquals(1, balancer.sends.size());
    assertTrue(balancer.actions.stream().anyMatch(action -> action.startsWith("cancel")));
    balancer.complete(balancer.lastSent(), AttemptOutcome.CANCELLED);
    assertEquals(2, balancer.serversOf(balancer.lastSent().part()).stream().distinct().count());
  }

  @Test
  void attemptsTimeOutIfTheyCannotBeCancelled() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.mayCancel = false;
    settings.parallelAttempts = false;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.answerQueries(80);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    assertTrue(balancer.lastSent().timeoutUs() > 0 && balancer.lastSent().timeoutUs() < 900_000);
    balancer.advance(CLIENT_TIMEOUT_US);
    assertFalse(balancer.actions.stream().anyMatch(action -> action.startsWith("cancel")));
  }

  @Test
  void retriesStayWithinTheBudget() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.retryRatio = 0.1;
    settings.retryBudgetFloor = 2;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    for (int i = 0; i < 5; i++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
    }
    for (int round = 0; round < 4; round++) {
      for (BalancerHarness.SentAttempt sent : List.copyOf(balancer.sends)) {
        balancer.complete(sent, AttemptOutcome.ERROR);
      }
    }
    balancer.advance(CLIENT_TIMEOUT_US);
    assertEquals(
        5 + 3, balancer.sends.size(), "the budget is 2 plus a tenth of the 5 queries and 5 parts");
  }
}
