package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Failure penalties: failing and slow servers are avoided for a time. */
class FailurePenaltiesTest {
  @Test
  void fastErrorsDoNotAttractParts() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.answerQueries(20);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    int failing = balancer.lastSent().server();
    balancer.complete(balancer.lastSent(), AttemptOutcome.ERROR);
    assertNotEquals(
        failing, balancer.lastSent().server(), "retried immediately at the other server");
    balancer.complete(balancer.lastSent(), AttemptOutcome.OK);
    balancer.sends.clear();
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    assertTrue(balancer.sends.stream().noneMatch(attempt -> attempt.server() == failing));
    balancer.advance(20_000_000);
    balancer.answerAll();
    balancer.sends.clear();
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    assertTrue(
        balancer.sends.stream().anyMatch(attempt -> attempt.server() == failing),
        "the failing server is selected again once its penalty has decayed");
  }

  @Test
  void aPenaltyLastsUntilTheNextTurnOfAServer() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    int failing = balancer.lastSent().server();
    balancer.advance(10_000);
    balancer.complete(balancer.lastSent(), AttemptOutcome.ERROR);
    balancer.complete(balancer.lastSent(), AttemptOutcome.OK);
    balancer.advance(9_000_000);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    assertFalse(
        balancer.serversOf(200).contains(failing) || balancer.serversOf(201).contains(failing),
        "both parts are sent to the other server");
  }

  @Test
  void aServerThatFailsIntermittentlyIsNotTrustedAfterOneAnswer() {
    BalancerHarness balancer = new BalancerHarness(new SettingsBuilder().build());
    balancer.replaceServers(
        ServerEntries.ready(1, 0), ServerEntries.inState(2, 1, ServerState.DRAINING));
    for (int turn = 0; turn < 5; turn++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      balancer.complete(balancer.lastSent(), AttemptOutcome.ERROR);
      while (balancer.lastSent().server() == 1
          && balancer.serversOf(balancer.lastSent().part()).size() < 3) {
        balancer.complete(balancer.lastSent(), AttemptOutcome.ERROR);
      }
      balancer.complete(balancer.lastSent(), AttemptOutcome.OK);
    }
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    balancer.complete(balancer.lastSent(), AttemptOutcome.OK);
    balancer.replaceServers(ServerEntries.ready(1, 0), ServerEntries.ready(2, 1));
    balancer.advance(4_000_000);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3);
    assertTrue(
        balancer.sends.stream()
                .filter(attempt -> attempt.atUs() == balancer.nowUs && attempt.server() == 2)
                .count()
            >= 3);
  }

  @Test
  void anAnswerFarBeyondThePredictionLeavesAPenalty() {
    for (int i = 0; i < 6; i++) {
      BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
      balancer.answerQueries(12 + i);
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      int slow = balancer.lastSent().server();
      balancer.advance(700_000);
      for (BalancerHarness.SentAttempt sent : List.copyOf(balancer.sends)) {
        balancer.complete(sent, AttemptOutcome.OK);
      }
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      assertNotEquals(slow, balancer.lastSent().server());
    }
  }
}
