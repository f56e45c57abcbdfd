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
    // 2 x 0.2..0.28 of one core for a second, halved: no more than three parts of 100 ms
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
   * Where many brokers send each server little, a new one sends no report for long; it is not busy
   * for that.
   */
  @Test
  void aWarmingServerWithoutReportIsNotTakenForAsBusyAsTheOthers() {
    BalancerHarness balancer = BalancerHarness.withTwoServers(new SettingsBuilder());
    for (int i = 0; i < 200; i++) {
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      balancer.advance(20_000);
      balancer.complete(balancer.lastSent(), AttemptOutcome.OK, 8);
    }
    balancer.updateServers(ServerEntries.started(3, 0, balancer.nowUs));
    balancer.advance(3_000_000);
    balancer.sends.clear();
    for (int i = 0; i < 10; i++) { // the warm ones report all the time
      balancer.query(0, CLIENT_TIMEOUT_US, 0);
      balancer.advance(20_000);
      balancer.complete(
          balancer.lastSent(), AttemptOutcome.OK, balancer.lastSent().server() == 3 ? 0 : 8);
    }
    long sentToWarming = balancer.sends.stream().filter(attempt -> attempt.server() == 3).count();
    assertTrue(sentToWarming >= 3, "sent to the warming one: " + sentToWarming);
  }

  @Test
  void manyBrokersNotifiedOfAStartedServerDoNotAllSendAtOnce() {
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
    assertTrue(started < 15, "sent at once to a server with a fifth of its capacity: " + started);
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
    assertTrue(later > 2 && later < 50, "at different times: " + later);
  }
}
