package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Effect.SendRequest;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Draining and shutdown. */
class LifecycleStageTest extends ReducerTestSupport {
  /** A query admitted after the drain began must not be open when the process is killed. */
  @Test
  void aQueryAdmittedWhileDrainingIsAnsweredBeforeTheDrainEnds() {
    listBothEndpoints();
    turn(new Event.DrainStarted(now + SECOND / 2));
    turn(queryReceived(1, 1, 1));
    runFor(SECOND / 2);
    assertTrue(responseTo(1) instanceof QueryResponse.DeadlineExceeded, "answer: " + responseTo(1));
  }

  /**
   * Regression: admitted just before SIGTERM with a deadline after SIGKILL, it was answered only at
   * its own deadline, and so never.
   */
  @Test
  void aQueryOpenBeforeTheDrainIsAnsweredBeforeItEnds() {
    listBothEndpoints();
    turn(queryReceived(1, 1, 1));
    turn(new Event.DrainStarted(now + SECOND / 2));
    runFor(SECOND / 2 + 5_000);
    assertTrue(responseTo(1) instanceof QueryResponse.DeadlineExceeded, "answer: " + responseTo(1));
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
