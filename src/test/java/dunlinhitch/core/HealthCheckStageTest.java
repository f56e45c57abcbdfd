package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Effect.SendRequest;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Time limits of health checks. */
class HealthCheckStageTest extends ReducerTestSupport {
  @Test
  void anUnansweredHealthCheckEnds() {
    listBothEndpoints();
    for (int i = 0; i < 40 && effectsOf(Effect.SendHealthCheck.class).isEmpty(); i++) {
      turn(queryReceived(100 + i, 1, 1));
      effectsOf(SendRequest.class)
          .forEach(
              c ->
                  c.parts()
                      .forEach(
                          p ->
                              effects.addAll(
                                  reducer.turn(
                                      now,
                                      List.of(
                                          new Event.AttemptCompleted(
                                              p.attempt(),
                                              AttemptOutcome.OK,
                                              new float[] {1, 0},
                                              "v"))))));
      runFor(500_000);
    }
    assertTrue(effectsOf(Effect.SendHealthCheck.class).size() > 0);
    runFor(SECOND);
    long healthCheck = effectsOf(Effect.SendHealthCheck.class).get(0).healthCheck();
    turn(new Event.HealthCheckCompleted(healthCheck, AttemptOutcome.OK, new float[] {1, 0}));
    assertEquals(0, reducer.counters().get(Counter.FAULTS));
  }
}
