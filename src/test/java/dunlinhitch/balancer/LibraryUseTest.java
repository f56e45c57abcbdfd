package dunlinhitch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.balancer.settings.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Compiles and runs the sample code of the README. */
class LibraryUseTest {
  @Test
  void readmeSample() {
    BalancerHarness harness = new BalancerHarness(new SettingsBuilder().build());
    Settings settings = new SettingsBuilder().build();
    long seed = 1;
    long nowUs = 1_000_000;
    long laterUs = 1_080_000;
    List<ServerEntry> servers = List.of(ServerEntries.ready(1, 0), ServerEntries.ready(2, 1));
    float[] report = new float[0];

    LoadBalancer loadBalancer = new LoadBalancer(settings, seed, harness);
    loadBalancer.on(nowUs, new BalancerEvent.Started());
    loadBalancer.on(nowUs, new BalancerEvent.ServerListUpdated(ServerListKind.FULL, servers));
    loadBalancer.on(
        nowUs, new BalancerEvent.QueryArrived(1, 1, 0, 0, 1, nowUs + 3_000_000, 0, false));
    loadBalancer.on(nowUs, new BalancerEvent.PartArrived(2, 1, 0, 1.0, 0));
    int server = harness.lastSent().server();
    loadBalancer.on(
        laterUs,
        new BalancerEvent.AttemptCompleted(
            2, 0, AttemptOutcome.OK, server, laterUs - nowUs, true, report));

    assertEquals(2, harness.lastSent().part());
    assertEquals(List.of("answer 1 complete"), harness.actions);
  }
}
