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

/** Attempts as the reducer batches, cancels, withdraws and limits them. */
class AttemptLifecycleTest extends ReducerTestSupport {
  @Test
  void attemptsOfATurnShareRequestsOfEightPartsAtMost() {
    listBothEndpoints();
    turn(queryReceived(1, 0, 18));
    assertEquals(18, effectsOf(SendRequest.class).stream().mapToInt(c -> c.parts().size()).sum());
    assertTrue(effectsOf(SendRequest.class).stream().allMatch(c -> c.parts().size() <= 8));
    assertTrue(
        effectsOf(SendRequest.class).size() <= 4, "calls: " + effectsOf(SendRequest.class).size());
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
   * Regression: a part that was late at one endpoint reached another before the first had read the
   * cancellation. However long that takes, the retry follows it.
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
        "each is sent again at once");
    assertEquals(cancelled.size(), quickReducer.counters().get(Counter.ATTEMPTS_RELEASED));
    assertEquals(0, quickReducer.counters().get(Counter.SENDS_BLOCKED));
  }

  /** The connection was given up here: the retry waits until the endpoint has seen that. */
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
        lateReply == AttemptOutcome.OK
            ? Event.AttemptCompleted.of(lost, AttemptOutcome.OK) // it answers after all
            : new Event.AttemptReleased(lost));
    assertEquals(1, attemptsIn(effects).size());
    turn(new Event.AttemptReleased(lost), new Event.AttemptReleased(lost));
    assertEquals(1, attemptsIn(effects).size(), "a second release is none");
    assertEquals(0, reducer.counters().get(Counter.SENDS_BLOCKED));
  }

  /** The retry waited for its release; its client did not. */
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
   * Regression: where attempts can not be cancelled, a part that was unsent when its client
   * disconnected, or its query was answered, was sent all the same. It is withdrawn, and no
   * endpoint is notified of what was sent.
   */
  @Test
  void unsentAttemptsAreWithdrawnWhereCancellingIsNotAllowed() {
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
    assertTrue(responseTo(3) instanceof QueryResponse.Served, "answer: " + responseTo(3));
    List<Effect.AttemptRequest> again =
        attemptsIn(effects); // the sixth was sent again once its time was over
    assertEquals(
        List.of(again.get(again.size() - 1).attempt()),
        effectsOf(Effect.WithdrawAttempt.class).stream()
            .map(Effect.WithdrawAttempt::attempt)
            .toList());
  }

  private Reducer reducerWithoutCancelling() {
    Reducer made =
        new Reducer(
            settingsWith(
                BrokerFixture.settings(40), BrokerFixture.settings(40).classes(), 4, false),
            7,
            now);
    made.turn(now, List.of(bothEndpointsListed()));
    return made;
  }

  /** A lower limit binds open queries as well as new ones. */
  @Test
  void theAttemptLimitIsTheLowestOfTheSettingsThatAQueryMet() {
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
