package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.core.Effect.SendRequest;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Batching, cancellation, withdrawal and limits of attempts in the reducer. */
class AttemptLifecycleTest extends ReducerTestSupport {
  @Test
  void attemptsOfATurnShareRequestsOfEightPartsAtMost() {
    listBothEndpoints();
    turn(queryReceived(1, 0, 18));
    assertEquals(18, effectsOf(SendRequest.class).stream().mapToInt(c -> c.parts().size()).sum());
    assertTrue(effectsOf(SendRequest.class).stream().allMatch(c -> c.parts().size() <= 8));
    assertTrue(
        effectsOf(SendRequest.class).size() <= 4,
        "number of requests: " + effectsOf(SendRequest.class).size());
  }

  @Test
  void anAttemptEndsOnceAndALateReplyIsIgnored() {
    listBothEndpoints();
    turn(queryReceived(1, 1, 1));
    long attempt = effectsOf(SendRequest.class).get(0).parts().get(0).attempt();
    turn(Event.AttemptCompleted.of(attempt, AttemptOutcome.FULL));
    turn(new Event.AttemptCompleted(attempt, AttemptOutcome.OK, new float[0], "too late"));
    assertEquals(null, responseTo(1));
    runFor(20_000);
    long again = effectsOf(SendRequest.class).get(1).parts().get(0).attempt();
    turn(new Event.AttemptCompleted(again, AttemptOutcome.OK, new float[0], "v"));
    assertEquals(
        new QueryResponse.Served(true, List.of(new QueryResponse.PartValue(0, "v"))),
        responseTo(1));
    assertEquals(1, reducer.counters().get(Counter.ATTEMPTS_SERVED));
  }

  /**
   * Regression: a part that timed out at one endpoint was sent to another before the first endpoint
   * had read the cancellation. The retry must wait until the endpoint has read it, however long
   * that takes.
   */
  @Test
  void aCancelledPartIsRetriedOnlyAfterItsEndpointHasReadTheCancellation() {
    Reducer quickReducer = new Reducer(BrokerFixture.settings(40).withTick(1_000), 7, now);
    quickReducer.turn(now, List.of(bothEndpointsListed()));
    quickReducer.turn(now, List.of(queryReceived(1, 0, 4)));
    List<Effect> cancelled = new ArrayList<>();
    for (long end = now + SECOND; now < end && cancelled.isEmpty(); now += 1_000) {
      quickReducer.turn(now, List.of()).stream()
          .filter(Effect.CancelAttempt.class::isInstance)
          .forEach(cancelled::add);
    }
    for (long end = now + 50_000; now < end; now += 1_000) {
      assertEquals(List.of(), attemptsIn(quickReducer.turn(now, List.of())));
    }
    assertEquals(
        cancelled.size(),
        attemptsIn(quickReducer.turn(now, releasesOf(cancelled))).size(),
        "each cancelled part is retried as soon as it is released");
    assertEquals(cancelled.size(), quickReducer.counters().get(Counter.ATTEMPTS_RELEASED));
    assertEquals(0, quickReducer.counters().get(Counter.SENDS_BLOCKED));
  }

  /**
   * The broker closes the connection; the retry waits until the endpoint has released the attempt.
   */
  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"OK", "MOOT"})
  void aPartOfALostConnectionIsRetriedOnlyAfterItsRelease(AttemptOutcome lateReply) {
    listBothEndpoints();
    turn(queryReceived(1, 0, 1));
    long lost = attemptsIn(effects).get(0).attempt();
    effects.clear();
    turn(Event.AttemptCompleted.unconfirmed(lost, AttemptOutcome.RESET));
    runFor(200_000);
    assertEquals(List.of(), attemptsIn(effects));
    turn(
        // OK: the endpoint's answer still arrives after the connection was lost. MOOT: no answer
        // arrives.
        lateReply == AttemptOutcome.OK
            ? Event.AttemptCompleted.of(lost, AttemptOutcome.OK)
            : new Event.AttemptReleased(lost));
    assertEquals(1, attemptsIn(effects).size());
    turn(new Event.AttemptReleased(lost), new Event.AttemptReleased(lost));
    assertEquals(1, attemptsIn(effects).size(), "a repeated release has no effect");
    assertEquals(0, reducer.counters().get(Counter.SENDS_BLOCKED));
  }

  /** The client disconnects while the retry is waiting for the release of the first attempt. */
  @Test
  void aReleaseAfterTheClientHasLeftSendsNothing() {
    listBothEndpoints();
    turn(queryReceived(1, 0, 1));
    long lost = attemptsIn(effects).get(0).attempt();
    effects.clear();
    turn(Event.AttemptCompleted.unconfirmed(lost, AttemptOutcome.RESET));
    turn(new Event.ClientDisconnected(1), new Event.AttemptReleased(lost));
    turn(new Event.AttemptReleased(lost));
    runFor(200_000);
    assertEquals(List.of(), attemptsIn(effects));
    assertEquals(0, reducer.counters().get(Counter.FAULTS));
  }

  @Test
  void anAttemptStartedAndCancelledInOneTurnIsNeverSent() {
    listBothEndpoints();
    turn(queryReceived(1, 1, 1), new Event.ClientDisconnected(1));
    assertEquals(List.of(), effectsOf(SendRequest.class));
    assertEquals(List.of(), effectsOf(Effect.CancelAttempt.class));
  }

  /**
   * Regression: with cancellation disabled, a part that was still unsent when its client
   * disconnected or its query was answered was sent nevertheless. It must be withdrawn, and
   * endpoints must not receive cancellations for attempts that were already sent.
   */
  @Test
  void unsentAttemptsAreWithdrawnWhenCancellationIsDisabled() {
    Reducer withoutCancelling = reducerWithoutCancelling();
    effects.addAll(
        withoutCancelling.turn(
            now, List.of(queryReceived(1, 1, 4), new Event.ClientDisconnected(1))));
    assertEquals(List.of(), effectsOf(SendRequest.class));
    List<Effect.AttemptRequest> sent =
        attemptsIn(withoutCancelling.turn(now, List.of(queryReceived(2, 1, 4))));
    assertEquals(4, sent.size());
    effects.addAll(withoutCancelling.turn(now, List.of(new Event.ClientDisconnected(2))));
    assertEquals(
        attemptIds(sent),
        effectsOf(Effect.WithdrawAttempt.class).stream()
            .map(Effect.WithdrawAttempt::attempt)
            .collect(Collectors.toSet()));
    assertEquals(List.of(), effectsOf(Effect.CancelAttempt.class));
    effects.clear();
    Reducer lateReducer = reducerWithoutCancelling();
    List<Effect.AttemptRequest> attempts =
        attemptsIn(lateReducer.turn(now, List.of(queryReceived(3, 0, 6))));
    attempts.stream()
        .limit(5)
        .forEach(
            p ->
                lateReducer.turn(
                    now,
                    List.of(
                        new Event.AttemptCompleted(
                            p.attempt(), AttemptOutcome.OK, new float[0], "v"))));
    List<Effect> turn = List.of();
    for (long end = now + SECOND;
        now < end && effectsOf(Effect.SendResponse.class).isEmpty();
        now += 5_000) {
      turn = lateReducer.turn(now, releasesOf(turn));
      effects.addAll(turn);
    }
    assertTrue(responseTo(3) instanceof QueryResponse.Served, "response: " + responseTo(3));
    // The sixth part was retried after its time limit.
    List<Effect.AttemptRequest> again = attemptsIn(effects);
    assertEquals(
        List.of(again.get(again.size() - 1).attempt()),
        effectsOf(Effect.WithdrawAttempt.class).stream()
            .map(Effect.WithdrawAttempt::attempt)
            .toList());
  }

  private Reducer reducerWithoutCancelling() {
    Reducer created =
        new Reducer(
            settingsWith(
                BrokerFixture.settings(40), BrokerFixture.settings(40).classes(), 4, false),
            7,
            now);
    created.turn(now, List.of(bothEndpointsListed()));
    return created;
  }

  /**
   * A reload that lowers the attempt limit applies to open queries; a reload that raises it does
   * not.
   */
  @Test
  void theAttemptLimitIsTheLowestInEffectWhileTheQueryIsOpen() {
    listBothEndpoints();
    turn(queryReceived(1, 0, 1));
    turn(
        new Event.ConfigurationReloaded(
            settingsWith(reducer.settings().classes(), 1), "127.0.0.1", 9));
    turn(
        Event.AttemptCompleted.of(
            effectsOf(SendRequest.class).get(0).parts().get(0).attempt(), AttemptOutcome.FULL));
    runFor(SECOND);
    assertEquals(1, effectsOf(SendRequest.class).size());
    turn(queryReceived(2, 0, 1));
    turn(
        new Event.ConfigurationReloaded(
            settingsWith(reducer.settings().classes(), 4), "127.0.0.1", 9));
    turn(
        Event.AttemptCompleted.of(
            effectsOf(SendRequest.class).get(1).parts().get(0).attempt(), AttemptOutcome.FULL));
    runFor(SECOND);
    assertEquals(2, effectsOf(SendRequest.class).size());
  }
}
