package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Health checks that are sent before queries are admitted. */
class HealthChecksTest {
  private static long healthChecksOfSparseQueries(double price) {
    SettingsBuilder settings = new SettingsBuilder();
    settings.healthChecks = true;
    settings.healthCheckPrice = price;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    // Sends one query every 2 s, so that the reports are stale each time.
    for (int i = 0; i < 50; i++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0, 1);
      balancer.advance(100_000);
      for (BalancerHarness.SentAttempt sent : List.copyOf(balancer.sends)) {
        balancer.complete(sent, AttemptOutcome.OK, 0);
      }
      balancer.sends.clear();
      for (int server = 1; server <= 2; server++) {
        balancer.handle(
            new BalancerEvent.HealthCheckCompleted(
                server, AttemptOutcome.OK, 2_000, new float[] {0}));
      }
      balancer.advance(1_900_000);
    }
    return balancer.actions.stream().filter(action -> action.startsWith("healthCheck")).count();
  }

  @Test
  void aBrokerWithoutRecentReportsChecksServersBeforeItSends() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.healthChecks = true;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.answerQueries(20);
    balancer.handle(
        new BalancerEvent.HealthCheckCompleted(1, AttemptOutcome.OK, 2_000, new float[] {0}));
    balancer.handle(
        new BalancerEvent.HealthCheckCompleted(2, AttemptOutcome.OK, 2_000, new float[] {0}));
    balancer.advance(20_000_000);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    assertTrue(
        !balancer.actions.isEmpty()
            && balancer.actions.stream().allMatch(action -> action.startsWith("healthCheck")),
        "only health checks were sent: " + balancer.actions);
    assertTrue(balancer.sends.isEmpty(), "the query is deferred");
    balancer.handle(
        new BalancerEvent.HealthCheckCompleted(1, AttemptOutcome.OK, 2_000, new float[] {9}));
    balancer.handle(
        new BalancerEvent.HealthCheckCompleted(2, AttemptOutcome.OK, 2_000, new float[] {0}));
    assertEquals(
        List.of(2), balancer.sends.stream().map(BalancerHarness.SentAttempt::server).toList());
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    assertEquals(2, balancer.sends.size(), "recent reports suffice for the next query");
  }

  @Test
  void unansweredHealthChecksDeferAQueryOnlyBriefly() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.healthChecks = true;
    BalancerHarness balancer = BalancerHarness.withTwoServers(settings);
    balancer.answerQueries(20);
    balancer.handle(
        new BalancerEvent.HealthCheckCompleted(1, AttemptOutcome.OK, 2_000, new float[] {0}));
    balancer.handle(
        new BalancerEvent.HealthCheckCompleted(2, AttemptOutcome.OK, 2_000, new float[] {0}));
    balancer.advance(20_000_000);
    balancer.query(0, CLIENT_TIMEOUT_US, 0);
    assertTrue(balancer.sends.isEmpty());
    balancer.advance(50_000);
    assertEquals(1, balancer.sends.size());
  }

  /**
   * Brokers with few queries each send their own health checks, and the total over all brokers can
   * be large. A broker must send fewer health checks if a health check is expensive.
   */
  @Test
  void expensiveHealthChecksAreSentLessOften() {
    long atReferencePrice = healthChecksOfSparseQueries(0.012);
    long atHighPrice = healthChecksOfSparseQueries(0.08);
    assertTrue(atReferencePrice >= 15, "health checks at the reference price: " + atReferencePrice);
    assertTrue(atHighPrice <= 5, "health checks at about seven times the price: " + atHighPrice);
  }
}
