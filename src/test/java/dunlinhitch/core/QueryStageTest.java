package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.Effect.SendRequest;
import dunlinhitch.core.QueryRequest.PartRequest;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Admission, deadlines and disconnected clients. */
class QueryStageTest extends ReducerTestSupport {
  @Test
  void anUnansweredQueryEndsAtItsDeadlineAndItsAttemptsAreCancelled() {
    listBothEndpoints();
    turn(queryReceived(1, 1, 1));
    runForWithPromptEndpoints(2 * SECOND);
    assertTrue(
        responseTo(1) instanceof QueryResponse.DeadlineExceeded, "response: " + responseTo(1));
    assertEquals(
        effectsOf(SendRequest.class).stream().mapToInt(c -> c.parts().size()).sum(),
        effectsOf(Effect.CancelAttempt.class).size());
    assertEquals(0, reducer.openQueries());
  }

  @Test
  void queriesBeyondTheInFlightLimitAreRejected() {
    listBothEndpoints();
    turn(queryReceived(1, 0, 20), queryReceived(2, 0, 20));
    assertEquals(new QueryResponse.Rejected(500_000), responseTo(2));
    assertEquals(null, responseTo(1));
    turn(queryReceived(1, 1, 1));
    assertTrue(
        reducer.counters().get(Counter.QUERIES_NOT_ADMITTED) == 2,
        "a query with the id of an open one is rejected");
  }

  /**
   * Guards against a second execution of a query whose id comes again after its client has left:
   * its attempts may still be at the stores, or may have been executed.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1})
  void anIdThatComesAgainAfterItsClientHasLeftIsNotExecutedAgain(int queryClass) {
    listBothEndpoints();
    turn(queryReceived(1, queryClass, 1));
    assertEquals(1, attemptsIn(effects).size());
    turn(new Event.ClientDisconnected(1));
    turn(withId("q1", queryReceived(2, queryClass, 1)));
    runForWithPromptEndpoints(SECOND);
    assertEquals(new QueryResponse.Rejected(500_000), responseTo(2));
    assertEquals(1, attemptsIn(effects).size());
    assertEquals(1, reducer.counters().get(Counter.QUERIES_REPEATED));
  }

  /** Guards against a second execution of a query that was answered. */
  @Test
  void anIdThatComesAgainAfterItsAnswerIsNotExecutedAgain() {
    listBothEndpoints();
    turn(queryReceived(1, 0, 1));
    long attempt = attemptsIn(effects).get(0).attempt();
    turn(
        new Event.AttemptCompleted(
            attempt, AttemptOutcome.OK, new float[0], "value", Double.NaN, false));
    assertTrue(responseTo(1) instanceof QueryResponse.Served, "response: " + responseTo(1));
    turn(withId("q1", queryReceived(2, 0, 1)));
    runForWithPromptEndpoints(SECOND);
    assertEquals(new QueryResponse.Rejected(500_000), responseTo(2));
    assertEquals(1, attemptsIn(effects).size());
  }

  /** A query that no store has executed may come again under its id. */
  @Test
  void anIdOfWhichNothingWasExecutedIsServed() {
    turn(queryReceived(1, 0, 1));
    turn(new Event.ClientDisconnected(1));
    listBothEndpoints();
    turn(withId("q1", queryReceived(2, 0, 1)));
    assertEquals(1, attemptsIn(effects).size());
  }

  /** Guards against an id that another process of this broker has claimed and is executed here. */
  @Test
  void anIdThatIsClaimedElsewhereIsRefused() {
    listBothEndpoints();
    turn(withClaim(Event.IdClaim.REFUSED, queryReceived(1, 0, 1)));
    assertEquals(0, attemptsIn(effects).size());
    assertTrue(responseTo(1) instanceof QueryResponse.Rejected);
    assertEquals(List.of(), effectsOf(Effect.ReleaseQueryId.class));
  }

  /** Guards against an id that is refused everywhere although no store can have executed it. */
  @Test
  void onlyTheIdOfWhichNothingWasExecutedIsReleased() {
    turn(withClaim(Event.IdClaim.CLAIMED, queryReceived(1, 0, 1)));
    turn(new Event.ClientDisconnected(1));
    // above the limit of parts in flight
    turn(withClaim(Event.IdClaim.CLAIMED, queryReceived(2, 0, 400)));
    turn(queryReceived(3, 0, 400));
    listBothEndpoints();
    turn(withClaim(Event.IdClaim.CLAIMED, queryReceived(4, 0, 1)));
    turn(new Event.ClientDisconnected(4));
    assertEquals(
        List.of(new Effect.ReleaseQueryId("q1"), new Effect.ReleaseQueryId("q2")),
        effectsOf(Effect.ReleaseQueryId.class));
  }

  private static Event withClaim(Event.IdClaim claim, Event event) {
    return ((Event.QueryReceived) event).withClaim(claim);
  }

  private static Event withId(String id, Event event) {
    Event.QueryReceived received = (Event.QueryReceived) event;
    QueryRequest request = received.request();
    return new Event.QueryReceived(
        received.exchange(),
        new QueryRequest(
            id,
            request.key(),
            request.queryClass(),
            request.deadlineUs(),
            request.retriedByClient(),
            request.parts(),
            request.text()));
  }

  /**
   * The state of a query when its client disconnects. In each of these states, an attempt would be
   * sent in the same turn or later if the client stayed connected.
   */
  enum DisconnectState {
    NO_ENDPOINT,
    REJECTED_BY_ENDPOINT,
    DEFERRED,
    FIRST_STEP_CLOSES
  }

  @ParameterizedTest
  @CsvSource({
    "NO_ENDPOINT, true",
    "REJECTED_BY_ENDPOINT, true",
    "DEFERRED, true",
    "FIRST_STEP_CLOSES, true",
    "NO_ENDPOINT, false",
    "REJECTED_BY_ENDPOINT, false",
    "DEFERRED, false",
    "FIRST_STEP_CLOSES, false"
  })
  void nothingIsSentForADisconnectedClient(DisconnectState state, boolean mayCancel) {
    Settings settings = BrokerFixture.twoSteps(40);
    Reducer reducer = new Reducer(settingsWith(settings, settings.classes(), 4, mayCancel), 7, now);
    if (state != DisconnectState.NO_ENDPOINT) {
      reducer.turn(now, List.of(bothEndpointsListed()));
    }
    List<Event> requests =
        new ArrayList<>(
            List.of(
                new Event.QueryReceived(
                    1,
                    new QueryRequest(
                        "q1",
                        "",
                        settings.classes().get(2),
                        now + 900_000,
                        false,
                        List.of(new PartRequest(0, 0.5, 0), new PartRequest(1, 0.5, 0)),
                        "x"))));
    if (state == DisconnectState.DEFERRED) {
      requests.add(new Event.EndpointDisableRequested(1, "a", true));
    }
    List<Effect.AttemptRequest> sent = attemptsIn(reducer.turn(now, requests));
    now += 5_000;
    List<Event> last = new ArrayList<>();
    sent.forEach(
        p ->
            last.add(
                state == DisconnectState.FIRST_STEP_CLOSES
                    ? new Event.AttemptCompleted(p.attempt(), AttemptOutcome.OK, new float[0], "v")
                    : Event.AttemptCompleted.of(p.attempt(), AttemptOutcome.FULL)));
    last.add(new Event.ClientDisconnected(1));
    List<Effect> after = new ArrayList<>(reducer.turn(now, last));
    after.addAll(reducer.turn(now, List.of(bothEndpointsListed())));
    for (long end = now + 2 * SECOND; now < end; now += 5_000) {
      after.addAll(reducer.turn(now, List.of()));
    }
    assertEquals(List.of(), attemptsIn(after));
    assertEquals(0, reducer.openQueries());
    assertEquals(0, reducer.counters().get(Counter.FAULTS));
    assertEquals(
        state == DisconnectState.FIRST_STEP_CLOSES ? 1 : 0,
        reducer.counters().get(Counter.SECOND_STEPS));
  }
}
