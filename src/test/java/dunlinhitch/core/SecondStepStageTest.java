package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.QueryRequest.PartRequest;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Queries of a class with a second step. */
class SecondStepStageTest extends ReducerTestSupport {
  private final Reducer twoStepReducer = new Reducer(BrokerFixture.twoSteps(40), 7, now);

  private List<Effect> twoStepsTurn(Event... events) {
    now += 5_000;
    List<Effect> emitted = twoStepReducer.turn(now, List.of(events));
    effects.addAll(emitted);
    return emitted;
  }

  private List<Effect.AttemptRequest> openFirstStep() {
    twoStepsTurn(
        new Event.EndpointsUpdated(
            ServerListKind.FULL,
            List.of(endpoint("a", 0, ServerState.READY), endpoint("b", 1, ServerState.READY))));
    QueryRequest request =
        new QueryRequest(
            "q1",
            "",
            twoStepReducer.settings().classes().get(2),
            now + 900_000,
            false,
            List.of(
                new PartRequest(4, 0.5, 0),
                new PartRequest(5, 0.25, 0),
                new PartRequest(6, 0.25, 0)),
            "x");
    return attemptsIn(twoStepsTurn(new Event.QueryReceived(1, request)));
  }

  private List<Effect.AttemptRequest> closeFirstStep(List<Effect.AttemptRequest> first) {
    List<Effect.AttemptRequest> second = List.of();
    for (Effect.AttemptRequest attempt : first) {
      second =
          attemptsIn(
              twoStepsTurn(
                  new Event.AttemptCompleted(
                      attempt.attempt(),
                      AttemptOutcome.OK,
                      new float[0],
                      "v" + attempt.shard(),
                      attempt.shard())));
    }
    return second;
  }

  /**
   * Regression: the load balancer's first answer was sent to the client as the response. It must
   * only close the first step.
   */
  @Test
  void theAnswerOfTheFirstStepOpensTheSecond() {
    List<Effect.AttemptRequest> second = closeFirstStep(openFirstStep());
    assertEquals(null, responseTo(1));
    assertEquals(
        Set.of("q1.5.r", "q1.6.r"),
        second.stream().map(Effect.AttemptRequest::partId).collect(Collectors.toSet()));
    second.forEach(
        attempt -> assertEquals(new Effect.FirstStep(List.of(4, 5, 6), true), attempt.firstStep()));
    twoStepsTurn(
        new Event.AttemptCompleted(second.get(0).attempt(), AttemptOutcome.OK, new float[0], "r0"));
    assertEquals(null, responseTo(1), "no response after one of two parts");
    twoStepsTurn(
        new Event.AttemptCompleted(second.get(1).attempt(), AttemptOutcome.OK, new float[0], "r1"));
    QueryResponse.Served served = (QueryResponse.Served) responseTo(1);
    assertTrue(served.complete());
    assertEquals(
        Set.of(5, 6),
        served.parts().stream().map(QueryResponse.PartValue::shard).collect(Collectors.toSet()));
    assertEquals(0, twoStepReducer.openQueries());
  }

  /** The attempts in flight are cancelled and no state of the query remains. */
  @Test
  void aClientThatDisconnectsInTheSecondStepLeavesNothingInFlight() {
    List<Effect.AttemptRequest> second = closeFirstStep(openFirstStep());
    effects.clear();
    twoStepsTurn(new Event.ClientDisconnected(1));
    assertEquals(
        second.stream().map(Effect.AttemptRequest::attempt).collect(Collectors.toSet()),
        effectsOf(Effect.CancelAttempt.class).stream()
            .map(Effect.CancelAttempt::attempt)
            .collect(Collectors.toSet()));
    for (int i = 0; i < 300; i++) {
      twoStepsTurn();
    }
    assertEquals(0, twoStepReducer.openQueries());
    assertEquals(null, responseTo(1));
  }
}
