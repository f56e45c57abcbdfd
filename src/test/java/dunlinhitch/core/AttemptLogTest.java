package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Log lines about failed attempts and their retries. */
class AttemptLogTest extends ReducerTestSupport {
  private List<String> lines() {
    return effectsOf(Effect.LogMessage.class).stream().map(Effect.LogMessage::text).toList();
  }

  private void failAll(List<Effect.AttemptRequest> attempts) {
    turn(
        attempts.stream()
            .map(attempt -> Event.AttemptCompleted.of(attempt.attempt(), AttemptOutcome.ERROR))
            .toArray(Event[]::new));
  }

  @Test
  void aFailedAttemptAndItsRetryAreLogged() {
    listBothEndpoints();
    turn(queryReceived(1, 0, 1));
    now += 30_000;
    failAll(attemptsIn(effects));
    assertTrue(
        lines()
            .get(0)
            .matches("attempt 1 of part q1\\.0 at endpoint [ab] ended with outcome ERROR .* 30 ms"),
        lines().toString());
    assertTrue(
        lines()
            .get(1)
            .matches("attempt 2 of part q1\\.0 at endpoint [ab] is a retry or hedged attempt"),
        lines().toString());
    assertEquals(1, reducer.counters().get(Counter.ATTEMPTS_REPEATED));
  }

  @Test
  void atMostTenLinesPerSecondAreWrittenAndTheRestIsCounted() {
    QueryRequest request = ((Event.QueryReceived) queryReceived(1, 0, 1)).request();
    InFlightPart part =
        new InFlightPart(2, new InFlightQuery(1, 1, request, 4), request.parts().get(0));
    TrackedEndpoint endpoint = new TrackedEndpoint(1, endpoint("a", 0, ServerState.READY));
    InFlightAttempt attempt =
        new InFlightAttempt(7, part, new InFlightAttempt.Key(part.number, 0), endpoint, now, false);
    TurnContext context = new TurnContext(reducer.settings(), now);
    AttemptLog log = new AttemptLog(context, new Counters());
    for (int i = 0; i < 12; i++) {
      log.onEnded(attempt, AttemptOutcome.TIMEOUT);
    }
    assertEquals(10, context.takeEffects().size());
    context.begin(now + SECOND, now + SECOND);
    log.onEnded(attempt, AttemptOutcome.TIMEOUT);
    assertEquals(
        List.of(
            new Effect.LogMessage(
                "attempt 7 of part q1.0 at endpoint a ended with outcome TIMEOUT after 1000 ms"
                    + " (2 earlier lines suppressed)")),
        context.takeEffects());
  }
}
