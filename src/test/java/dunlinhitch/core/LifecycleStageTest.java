package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Effect.SendRequest;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Draining and shutdown of the process. */
class LifecycleStageTest extends ReducerTestSupport {
  /**
   * A query admitted during a drain must be answered before the drain ends and the process is
   * killed.
   */
  @Test
  void aQueryAdmittedWhileDrainingIsAnsweredBeforeTheDrainEnds() {
    listBothEndpoints();
    turn(new Event.DrainStarted(now + SECOND / 2));
    turn(queryReceived(1, 1, 1));
    runFor(SECOND / 2);
    assertTrue(
        responseTo(1) instanceof QueryResponse.DeadlineExceeded, "response: " + responseTo(1));
  }

  /**
   * Regression: a query admitted just before SIGTERM, with a deadline after SIGKILL, was never
   * answered, because only its own deadline applied.
   */
  @Test
  void aQueryOpenBeforeTheDrainIsAnsweredBeforeItEnds() {
    listBothEndpoints();
    turn(queryReceived(1, 1, 1));
    turn(new Event.DrainStarted(now + SECOND / 2));
    runFor(SECOND / 2 + 5_000);
    assertTrue(
        responseTo(1) instanceof QueryResponse.DeadlineExceeded, "response: " + responseTo(1));
  }

  @Test
  void shutdownWaitsForOpenQueriesAndAdmitsNone() {
    listBothEndpoints();
    turn(queryReceived(1, 1, 1));
    turn(new Event.ShutdownRequested());
    assertEquals(List.of(), effectsOf(Effect.ShutdownCompleted.class));
    turn(queryReceived(2, 1, 1));
    assertTrue(responseTo(2) instanceof QueryResponse.Rejected);
    turn(
        new Event.AttemptCompleted(
            effectsOf(SendRequest.class).get(0).parts().get(0).attempt(),
            AttemptOutcome.OK,
            new float[0],
            "v"));
    assertTrue(responseTo(1) instanceof QueryResponse.Served);
    assertEquals(1, effectsOf(Effect.ShutdownCompleted.class).size());
  }
}
