package dunlinhitch.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.balancer.settings.Settings;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The sample of README, compiled and run. */
class LibraryUseTest {
  @Test
  void readmeSample() {
    Script actions = new Script(new Sites().build());
    Settings settings = new Sites().build();
    long seed = 1;
    long nowUs = 1_000_000;
    long laterUs = 1_080_000;
    List<ServerEntry> servers = List.of(Sites.ready(1, 0), Sites.ready(2, 1));
    float[] report = new float[0];

    LoadBalancer policy = new LoadBalancer(settings, seed, actions);
    policy.on(nowUs, new BalancerEvent.Started());
    policy.on(nowUs, new BalancerEvent.ServerListUpdated(ServerListKind.FULL, servers));
    policy.on(nowUs, new BalancerEvent.QueryArrived(1, 1, 0, 0, 1, nowUs + 3_000_000, 0, false));
    policy.on(nowUs, new BalancerEvent.PartArrived(2, 1, 0, 1.0, 0));
    int server = actions.last().server();
    policy.on(
        laterUs,
        new BalancerEvent.AttemptCompleted(
            2, 0, AttemptOutcome.OK, server, laterUs - nowUs, true, report));

    assertEquals(2, actions.last().part());
    assertEquals(List.of("answer 1 whole"), actions.done);
  }
}
