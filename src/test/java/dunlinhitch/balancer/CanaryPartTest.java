package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The canary part, which is sent ahead of the other parts, and queries that crash servers. */
class CanaryPartTest {
  private static BalancerHarness withTwelveServers(SettingsBuilder settings) {
    BalancerHarness balancer = new BalancerHarness(settings.build());
    List<ServerEntry> all = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      all.add(ServerEntries.ready(i + 1, i % 2));
    }
    balancer.handle(new BalancerEvent.ServerListUpdated(ServerListKind.FULL, all));
    return balancer;
  }

  @Test
  void oneCanaryPartOfAWideQueryIsSentAheadAndTheRestFollow() {
    BalancerHarness balancer = withTwelveServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3, 4, 5, 6, 7);
    assertEquals(1, balancer.sends.size());
    balancer.complete(balancer.lastSent(), AttemptOutcome.OK);
    assertEquals(8, balancer.sends.size());
  }

  @Test
  void theRestAlsoFollowsWhenTheCanaryPartIsNotAnswered() {
    BalancerHarness balancer = withTwelveServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3, 4, 5, 6, 7);
    balancer.advance(200_000);
    assertTrue(balancer.sends.size() >= 8, "sent: " + balancer.sends.size());
  }

  @Test
  void aQueryThatCrashesServersIsRejectedAfterTwoOfThem() {
    BalancerHarness balancer = withTwelveServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3, 4, 5, 6, 7);
    while (balancer.actions.stream().noneMatch(action -> action.startsWith("reject 1"))
        && balancer.sends.size() < 30) {
      balancer.complete(balancer.lastSent(), AttemptOutcome.RESET);
    }
    assertEquals(2, balancer.sends.size());
    balancer.advance(CLIENT_TIMEOUT_US);
    assertEquals(2, balancer.sends.size());
  }

  /**
   * Guards against a false suspicion: a corrupt answer closes its connection. This resets the other
   * attempts on that connection, although their queries did not cause the reset.
   */
  @Test
  void connectionsLostAtServersThatAnswerOthersDoNotMakeTheQuerySuspect() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    BalancerHarness.SentAttempt first = balancer.lastSent();
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    BalancerHarness.SentAttempt other = balancer.lastSent();
    balancer.complete(first, AttemptOutcome.RESET);
    BalancerHarness.SentAttempt second = balancer.lastSent();
    assertNotEquals(first.server(), second.server());
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    balancer.advance(1_000);
    balancer.sends.stream()
        .filter(attempt -> attempt.part() >= 300 && attempt.server() == first.server())
        .findFirst()
        .ifPresent(attempt -> balancer.complete(attempt, AttemptOutcome.OK));
    balancer.complete(other, AttemptOutcome.OK);
    balancer.complete(second, AttemptOutcome.RESET);
    assertTrue(
        balancer.actions.stream().noneMatch(action -> action.startsWith("reject")),
        "not rejected: " + balancer.actions);
    assertEquals(3, balancer.serversOf(100).size());
  }

  @Test
  void partsLostTogetherAtOneServerDoNotMakeTheQuerySuspect() {
    BalancerHarness balancer = new BalancerHarness(new SettingsBuilder().build());
    balancer.replaceServers(ServerEntries.ready(1, 0));
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2);
    for (BalancerHarness.SentAttempt sent : List.copyOf(balancer.sends)) {
      balancer.complete(sent, AttemptOutcome.RESET);
    }
    assertTrue(
        balancer.actions.stream().noneMatch(action -> action.startsWith("reject")),
        "not rejected: " + balancer.actions);
  }

  @Test
  void aCrashDoesNotMakeTheQuerySuspectOnceAPartIsAnswered() {
    BalancerHarness balancer = withTwelveServers(new SettingsBuilder());
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3, 4, 5, 6, 7);
    balancer.complete(balancer.sends.get(0), AttemptOutcome.OK);
    balancer.complete(balancer.sends.get(1), AttemptOutcome.RESET);
    balancer.complete(balancer.sends.get(2), AttemptOutcome.RESET);
    assertTrue(
        balancer.actions.stream().noneMatch(action -> action.startsWith("reject")),
        "not rejected: " + balancer.actions);
    assertTrue(
        balancer.sends.size() >= 10, "the reset parts were retried: " + balancer.sends.size());
  }
}
