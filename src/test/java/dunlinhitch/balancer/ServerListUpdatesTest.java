package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The server list: draining, removal, polls, and servers disabled by an operator. */
class ServerListUpdatesTest {
  /**
   * A server that is enabled again is in slow start and has no load report, so idle servers have
   * better scores for a long time. The enabled server must still get a trial part.
   */
  @Test
  void aReenabledServerIsUsedSoonAndInSlowStart() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.answerQueries(10);
    balancer.handle(new BalancerEvent.ServerDisabled(1, true));
    balancer.answerQueries(20);
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3);
    assertTrue(balancer.sends.stream().allMatch(attempt -> attempt.server() == 2));
    balancer.answerAll();
    balancer.sends.clear();
    balancer.handle(new BalancerEvent.ServerDisabled(1, false));
    int useCount = 0;
    // Sends 50 queries within 5 s.
    for (int i = 0; i < 50; i++) {
      int from = balancer.sends.size();
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      balancer.advance(100_000);
      for (BalancerHarness.SentAttempt sent :
          new ArrayList<>(balancer.sends.subList(from, balancer.sends.size()))) {
        useCount += sent.server() == 1 ? 1 : 0;
        balancer.complete(sent, AttemptOutcome.OK);
      }
    }
    assertTrue(useCount > 0 && useCount < 25, "used for " + useCount + " of 50 queries");
  }

  @Test
  void drainingServersGetNoPartsIfAnotherHoldsTheShard() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.updateServers(ServerEntries.inState(1, 0, ServerState.DRAINING));
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2, 3);
    assertTrue(balancer.sends.stream().allMatch(attempt -> attempt.server() == 2));
  }

  @Test
  void aDrainingLastReplicaIsUsedWithinTheGracePeriodOnly() {
    BalancerHarness balancer = new BalancerHarness(new SettingsBuilder().build());
    balancer.replaceServers(ServerEntries.ready(1, 0));
    balancer.updateServers(ServerEntries.inState(1, 0, ServerState.DRAINING));
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    assertEquals(1, balancer.sends.size());
    balancer.advance(600_000);
    int sent = balancer.sends.size();
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    balancer.advance(CLIENT_TIMEOUT_US);
    assertEquals(sent, balancer.sends.size());
  }

  @Test
  void serversMissingFromAFullListAreRemoved() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    balancer.replaceServers(ServerEntries.ready(2, 1));
    balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
    assertTrue(balancer.sends.stream().allMatch(attempt -> attempt.server() == 2));
  }

  @Test
  void subscribesAgainAfterAFailureIfTheListMustBePolled() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.mustPollServerList = true;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    assertEquals(List.of("subscribe"), balancer.actions);
    balancer.handle(new BalancerEvent.ServerListUpdated(ServerListKind.FAILED, List.of()));
    balancer.advance(2_000_000);
    assertEquals(2, balancer.actions.stream().filter("subscribe"::equals).count());
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    assertEquals(1, balancer.sends.size(), "the previous list remains in use");
  }
}
