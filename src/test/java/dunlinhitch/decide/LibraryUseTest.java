package dunlinhitch.decide;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The sample of README, compiled and run. */
class LibraryUseTest {
  @Test
  void readmeSample() {
    Script actions = new Script(new Sites().build());
    Routing.Settings settings = new Sites().build();
    long seed = 1;
    long nowUs = 1_000_000;
    long laterUs = 1_080_000;
    List<Routing.ServerEntry> servers = List.of(Sites.ready(1, 0), Sites.ready(2, 1));
    float[] report = new float[0];

    Policy policy = new Policy(settings, seed, actions);
    policy.on(nowUs, new Routing.Start());
    policy.on(nowUs, new Routing.ServerList(Routing.ListKind.FULL, servers));
    policy.on(nowUs, new Routing.QueryArrived(1, 1, 0, 0, 1, nowUs + 3_000_000, 0, false));
    policy.on(nowUs, new Routing.PartArrived(2, 1, 0, 1.0, 0));
    int server = actions.last().server();
    policy.on(
        laterUs,
        new Routing.AttemptEnded(2, 0, Routing.Outcome.OK, server, laterUs - nowUs, true, report));

    assertEquals(2, actions.last().part());
    assertEquals(List.of("answer 1 whole"), actions.done);
  }
}
