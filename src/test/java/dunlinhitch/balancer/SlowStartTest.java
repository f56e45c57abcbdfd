package dunlinhitch.balancer;

import static dunlinhitch.balancer.BalancerHarness.CLIENT_TIMEOUT_US;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Slow start of single servers. */
class SlowStartTest {
  @Test
  void aStartedServerGetsNoMoreThanItsBudget() {
    SettingsBuilder settings = new SettingsBuilder();
    settings.brokers = 2;
    BalancerHarness balancer = new BalancerHarness(settings.build());
    balancer.replaceServers(ServerEntries.started(1, 0, balancer.nowUs));
    for (int i = 0; i < 40; i++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      balancer.advance(25_000);
    }
    // The server may get 2 (the overload factor) times 0.2 to 0.28 of one core for 1 s. Two brokers
    // share that budget, so each may send at most three parts of 100 ms.
    assertTrue(
        balancer.sends.size() >= 1 && balancer.sends.size() <= 3, "sent: " + balancer.sends.size());
  }

  @Test
  void aWarmServerIsNotLimited() {
    BalancerHarness balancer = new BalancerHarness(new SettingsBuilder().build());
    balancer.replaceServers(ServerEntries.ready(1, 0));
    for (int i = 0; i < 4; i++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
    }
    assertEquals(4, balancer.sends.size());
  }

  /**
   * If many brokers each send few parts per server, a new server has no load report for a long
   * time. It must not be assumed to be as busy as the others.
   */
  @Test
  void aWarmingServerWithoutReportIsAssumedIdle() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    for (int i = 0; i < 200; i++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      balancer.advance(20_000);
      balancer.complete(balancer.lastSent(), AttemptOutcome.OK, 8);
    }
    balancer.updateServers(ServerEntries.started(3, 0, balancer.nowUs));
    balancer.advance(3_000_000);
    balancer.sends.clear();
    // The warm servers keep reporting a load of 8.
    for (int i = 0; i < 10; i++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      balancer.advance(20_000);
      balancer.complete(
          balancer.lastSent(), AttemptOutcome.OK, balancer.lastSent().server() == 3 ? 0 : 8);
    }
    long sentToWarming = balancer.sends.stream().filter(attempt -> attempt.server() == 3).count();
    assertTrue(sentToWarming >= 3, "parts sent to the warming server: " + sentToWarming);
  }

  @Test
  void manyBrokersNotifiedOfAStartedServerDoNotSendSimultaneously() {
    int started = 0;
    for (int seed = 0; seed < 60; seed++) {
      SettingsBuilder settings = new SettingsBuilder();
      settings.brokers = 60;
      BalancerHarness balancer = new BalancerHarness(settings.build(), seed);
      balancer.replaceServers(
          ServerEntries.ready(1, 0), ServerEntries.started(2, 1, balancer.nowUs - 1_000));
      for (int shard = 0; shard < 3; shard++) {
        balancer.query(0, CLIENT_TIMEOUT_US, shard);
      }
      started += (int) balancer.sends.stream().filter(attempt -> attempt.server() == 2).count();
    }
    assertTrue(
        started < 15,
        "parts sent simultaneously to a server with a fifth of its capacity: " + started);
    int later = 0;
    for (int seed = 0; seed < 60; seed++) {
      SettingsBuilder settings = new SettingsBuilder();
      settings.brokers = 60;
      BalancerHarness balancer = new BalancerHarness(settings.build(), seed);
      balancer.replaceServers(
          ServerEntries.ready(1, 0), ServerEntries.started(2, 1, balancer.nowUs - 1_000));
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      balancer.advance(5_000_000);
      balancer.query(0, CLIENT_TIMEOUT_US, 0, 1, 2);
      later += balancer.sends.stream().anyMatch(attempt -> attempt.server() == 2) ? 1 : 0;
    }
    assertTrue(later > 2 && later < 50, "brokers that have sent to the server after 5 s: " + later);
  }
}
