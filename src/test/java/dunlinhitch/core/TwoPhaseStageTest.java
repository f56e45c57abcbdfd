package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.core.Effect.SendRequest;
import dunlinhitch.core.QueryRequest.PartRequest;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.twophase.TwoPhaseSettings;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Queries in two phases, run through the whole reducer. */
class TwoPhaseStageTest extends ReducerTestSupport {
  /**
   * The first passes and full passes sent to an endpoint in warm-up must not exceed its budget in
   * total.
   */
  @Test
  void theBudgetOfAWarmingUpEndpointCountsBothPhases() {
    Reducer twoPhaseReducer =
        reducerOf(
            endpoint("a", 0, ServerState.READY).withStart(now).phases(2),
            endpoint("b", 1, ServerState.READY).withStart(now).phases(2));
    Map<Integer, Integer> sent = new TreeMap<>();
    int[] attemptsByPhase = {0, 0};
    List<Event> next = new ArrayList<>();
    long startUs = now;
    for (int i = 0; now < startUs + 1_500_000; i++) {
      now += 5_000;
      if (i % 4 == 0) {
        QueryClass queryClass = twoPhaseReducer.settings().classes().get(0);
        next.add(new Event.QueryReceived(1_000 + i, queryOfTwoParts("c" + i, queryClass)));
      }
      List<Event> events = List.copyOf(next);
      next.clear();
      for (Effect effect : twoPhaseReducer.turn(now, events)) {
        if (effect instanceof SendRequest call) {
          sent.merge(call.endpoint(), call.parts().size(), Integer::sum);
          for (Effect.AttemptRequest part : call.parts()) {
            attemptsByPhase[part.firstPass() ? 0 : 1]++;
            next.add(completionOf(part));
          }
        }
      }
    }
    // The limit is 3 (the overload factor) times 15 % of a core for 1.5 s, divided by the minimum
    // work of a request (46 ms), plus one part.
    int limit = (int) (3 * 0.15 * 1_500_000 / 46_000) + 1;
    assertTrue(
        attemptsByPhase[0] > 0 && attemptsByPhase[1] > 0,
        "attempts of both phases must be sent: " + attemptsByPhase[0] + ", " + attemptsByPhase[1]);
    assertTrue(
        sent.values().stream().allMatch(parts -> parts <= limit),
        sent + ", expected at most " + limit);
    assertEquals(0, twoPhaseReducer.counters().get(Counter.FAULTS));
  }

  /** A late first pass is cancelled; its full pass waits until the endpoint has released it. */
  @Test
  void aFullPassWaitsForTheReleaseOfItsFirstPass() {
    Reducer twoPhaseReducer =
        reducerOf(
            endpoint("a", 0, ServerState.READY).phases(2),
            endpoint("b", 1, ServerState.READY).phases(2));
    QueryClass queryClass = twoPhaseReducer.settings().classes().get(0);
    List<Effect.AttemptRequest> firstPasses =
        attemptsIn(
            twoPhaseReducer.turn(
                now, List.of(new Event.QueryReceived(1, queryOfTwoParts("q", queryClass)))));
    assertEquals(2, firstPasses.size());
    List<Effect> cancelled = new ArrayList<>();
    // Runs for 400 ms, in which the first pass times out.
    for (int i = 0; i < 80; i++) {
      now += 5_000;
      List<Effect> turn = twoPhaseReducer.turn(now, List.of());
      assertEquals(List.of(), attemptsIn(turn));
      turn.stream().filter(Effect.CancelAttempt.class::isInstance).forEach(cancelled::add);
    }
    assertEquals(2, cancelled.size());
    now += 5_000;
    List<Effect.AttemptRequest> fullPasses =
        attemptsIn(twoPhaseReducer.turn(now, releasesOf(cancelled)));
    assertEquals(2, fullPasses.size());
    assertTrue(fullPasses.stream().noneMatch(Effect.AttemptRequest::firstPass));
    assertEquals(0, twoPhaseReducer.counters().get(Counter.SENDS_BLOCKED));
  }

  /** Creates a reducer with two phases for the first class and the given endpoints. */
  private Reducer reducerOf(Endpoint... endpoints) {
    Reducer created =
        new Reducer(
            BrokerFixture.settings(300),
            null,
            List.of(new TwoPhaseSettings("free-search", 0.3, 2, 1, 0, 0.05, SECOND)),
            7,
            now);
    created.turn(now, List.of(new Event.EndpointsUpdated(ServerListKind.FULL, List.of(endpoints))));
    return created;
  }

  private QueryRequest queryOfTwoParts(String id, QueryClass queryClass) {
    return new QueryRequest(
        id,
        "",
        queryClass,
        now + 900_000,
        false,
        List.of(new PartRequest(0, 0.5, 0), new PartRequest(1, 0.5, 0)),
        "x");
  }

  private Event completionOf(Effect.AttemptRequest part) {
    return part.firstPass()
        ? new Event.FirstPassCompleted(part.attempt(), now + 1_000, new float[0], 2, "v", "")
        : new Event.AttemptCompleted(part.attempt(), AttemptOutcome.OK, new float[0], "v");
  }
}
