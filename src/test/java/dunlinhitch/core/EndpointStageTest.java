package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Effect.SendRequest;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How the reducer applies endpoint lists, and the grace periods of draining endpoints. */
class EndpointStageTest extends ReducerTestSupport {
  /**
   * The grace period starts when the notification is written to the broker. If the broker reads it
   * 300 ms late, the period has expired: no attempt may be sent to the draining endpoint, even if
   * its shard has no other endpoint.
   */
  @Test
  void aDrainReadLateHasLessGracePeriodLeft() {
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.FULL, List.of(endpoint("a", 0, ServerState.READY))));
    Event drain =
        new Event.EndpointsUpdated(
            ServerListKind.DELTA, List.of(endpoint("a", 0, ServerState.DRAINING)));
    List<Effect> lateTurn =
        reducer.turn(now, now - 300_000, List.of(queryReceived(1, 0, 1), drain));
    assertEquals(
        0, attemptsSentTo(lateTurn, 1), "part sent to a store 300 ms after its drain notification");
    Reducer onTime = new Reducer(BrokerFixture.settings(40), 7, now);
    onTime.turn(
        now,
        List.of(
            new Event.EndpointsUpdated(
                ServerListKind.FULL, List.of(endpoint("a", 0, ServerState.READY)))));
    assertEquals(
        1,
        attemptsSentTo(onTime.turn(now, List.of(queryReceived(1, 0, 1), drain)), 1),
        "the last replica is used within its grace period");
  }

  @Test
  void aCompleteListReplacesTheOldOneAndRemovedEndpointsReceiveNothing() {
    listBothEndpoints();
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.FULL, List.of(endpoint("b", 1, ServerState.READY))));
    Effect.EndpointChanged last =
        effectsOf(Effect.EndpointChanged.class)
            .get(effectsOf(Effect.EndpointChanged.class).size() - 1);
    assertEquals("a", last.endpoint().name());
    assertEquals(ServerState.GONE, last.endpoint().state());
    turn(queryReceived(1, 0, 6));
    assertTrue(effectsOf(SendRequest.class).stream().allMatch(c -> c.endpoint() != last.number()));
    assertEquals(6, effectsOf(SendRequest.class).stream().mapToInt(c -> c.parts().size()).sum());
  }

  private EndpointClaim readyClaim(String instance, String name, int cell) {
    Endpoint ready = endpoint(name, cell, ServerState.READY);
    return new EndpointClaim(instance, ready, now, Long.MAX_VALUE);
  }

  private void serveAllAttempts() {
    for (SendRequest request : effectsOf(SendRequest.class)) {
      for (Effect.AttemptRequest attempt : request.parts()) {
        turn(new Event.AttemptCompleted(attempt.attempt(), AttemptOutcome.OK, new float[0], "v"));
      }
    }
  }

  /**
   * An endpoint withdrawn through DNS receives no new attempts, beginning with the turn that reads
   * the withdrawal. If it returns within the linger time, it keeps its number.
   */
  @Test
  void aWithdrawnEndpointReceivesNothingNewAndKeepsItsNumberOnReturn() {
    turn(
        new Event.SourceRegistered("dns", 1),
        new Event.SourceUpdated(
            "dns", true, List.of(readyClaim("one", "a", 0), readyClaim("two", "b", 1))));
    int number = effectsOf(Effect.EndpointChanged.class).get(0).number();
    turn(
        queryReceived(1, 0, 2),
        new Event.SourceUpdated("dns", false, List.of(EndpointClaim.withdrawal("one", now))));
    int withdrawn = effects.indexOf(effectsOf(Effect.EndpointChanged.class).get(2));
    assertEquals(
        ServerState.WITHDRAWN, effectsOf(Effect.EndpointChanged.class).get(2).endpoint().state());
    assertTrue(
        effects.stream()
            .filter(SendRequest.class::isInstance)
            .allMatch(e -> effects.indexOf(e) > withdrawn),
        "the edge is notified of the withdrawal before it receives requests of the same turn");
    effects.clear();
    for (int i = 2; i < 12; i++) {
      now += 20_000;
      turn(queryReceived(i, 0, 1));
      serveAllAttempts();
    }
    assertEquals(
        List.of(),
        effectsOf(SendRequest.class).stream().filter(call -> call.endpoint() == number).toList());
    assertTrue(!effectsOf(SendRequest.class).isEmpty(), effects.toString());
    effects.clear();
    now += 100_000;
    turn(new Event.SourceUpdated("dns", false, List.of(readyClaim("one", "a", 0))));
    assertEquals(number, effectsOf(Effect.EndpointChanged.class).get(0).number());
    assertEquals(
        0,
        effectsOf(Effect.EndpointChanged.class).get(0).endpoint().startedUs(),
        "a returning endpoint counts as warm");
    turn(new Event.SourceUpdated("dns", false, List.of(EndpointClaim.withdrawal("one", now))));
    runFor(11 * SECOND);
    assertEquals(1, reducer.counters().get(Counter.ENDPOINTS_REMOVED));
    assertEquals(1, reducer.status().listedEndpoints());
  }

  /**
   * By protocol, notifications of discovery count as received after 6 s, whether or not they
   * arrived. Operators are notified once when contact is lost for that long, and again on recovery.
   */
  @Test
  void theEndpointListIsReportedStaleAfterSixSecondsWithoutContact() {
    listBothEndpoints();
    turn(new Event.DiscoveryUnavailable(now - 2 * SECOND));
    turn(new Event.DiscoveryRecovered());
    runFor(5 * SECOND);
    turn(new Event.DiscoveryUnavailable(now - 2 * SECOND));
    runFor(4 * SECOND - 5_000);
    assertEquals(0, reducer.counters().get(Counter.ENDPOINT_LIST_STALE));
    runFor(10_000);
    turn(new Event.DiscoveryRecovered(), new Event.DiscoveryUnavailable(now));
    runFor(SECOND);
    assertEquals(1, reducer.counters().get(Counter.ENDPOINT_LIST_STALE));
    assertEquals(
        2,
        effectsOf(Effect.LogMessage.class).stream()
            .filter(line -> line.text().contains("discovery"))
            .count());
  }

  /**
   * After 2 s without contact, the drain notification may be up to 2 s old, so no grace period
   * remains. The same holds for a drain in the first list after the start.
   */
  @Test
  void aDrainInTheFirstListAfterLostContactHasNoGracePeriod() {
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.CACHED, List.of(endpoint("a", 0, ServerState.READY))));
    Event drain =
        new Event.EndpointsUpdated(
            ServerListKind.DELTA, List.of(endpoint("a", 0, ServerState.DRAINING)));
    assertEquals(
        0,
        attemptsSentTo(reducer.turn(now, List.of(queryReceived(1, 0, 1), drain)), 1),
        "the drain may have been notified before the start");
    Reducer withoutContact = new Reducer(BrokerFixture.settings(40), 7, now);
    withoutContact.turn(
        now,
        List.of(
            new Event.EndpointsUpdated(
                ServerListKind.FULL, List.of(endpoint("a", 0, ServerState.READY)))));
    withoutContact.turn(now, List.of(new Event.DiscoveryUnavailable(now - 2 * SECOND)));
    assertEquals(
        0,
        attemptsSentTo(
            withoutContact.turn(
                now, List.of(new Event.DiscoveryRecovered(), queryReceived(1, 0, 1), drain)),
            1),
        "the drain may have been notified during the loss of contact");
  }

  /**
   * The loss of contact, the recovery and the drain are read in a single late turn; the drain has
   * no grace period in this case either.
   */
  @Test
  void lostContactCountsEvenIfItIsRestoredInTheSameTurn() {
    Event drain =
        new Event.EndpointsUpdated(
            ServerListKind.DELTA, List.of(endpoint("a", 0, ServerState.DRAINING)));
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.FULL, List.of(endpoint("a", 0, ServerState.READY))));
    List<Effect> lateTurn =
        reducer.turn(
            now,
            List.of(
                queryReceived(1, 0, 1),
                new Event.DiscoveryUnavailable(now - 2 * SECOND),
                new Event.DiscoveryRecovered(),
                drain));
    assertEquals(0, attemptsSentTo(lateTurn, 1));
  }

  /**
   * The discovery address has changed and the new address does not respond yet, while the old one
   * still sends updates. The first list from the new address may be out of date.
   */
  @Test
  void updatesOfTheOldAddressDoNotRestoreContactToTheNewOne() {
    Event drain =
        new Event.EndpointsUpdated(
            ServerListKind.FULL, List.of(endpoint("a", 0, ServerState.DRAINING)));
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.FULL, List.of(endpoint("a", 0, ServerState.READY))));
    turn(new Event.DiscoveryUnavailable(now));
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.DELTA, List.of(endpoint("a", 0, ServerState.READY))));
    runFor(3 * SECOND);
    List<Effect> afterRecovery =
        reducer.turn(now, List.of(new Event.DiscoveryRecovered(), queryReceived(1, 0, 1), drain));
    assertEquals(0, attemptsSentTo(afterRecovery, 1));
  }

  /**
   * A drain notification and a complete list without the endpoint are read in one turn, in either
   * order, with and without an attempt in flight. No attempt is sent to the endpoint, although its
   * shard has no other endpoint. When the endpoint returns under the same id with a new start time,
   * it is warmed up again.
   */
  @ParameterizedTest
  @CsvSource({"true, true", "true, false", "false, true", "false, false"})
  void anEndpointLeftOutOfACompleteListWhileDrainingIsRemoved(
      boolean drainFirst, boolean attemptInFlight) {
    Event ready =
        new Event.EndpointsUpdated(
            ServerListKind.FULL, List.of(endpoint("a", 0, ServerState.READY)));
    Event drain =
        new Event.EndpointsUpdated(
            ServerListKind.DELTA, List.of(endpoint("a", 0, ServerState.DRAINING)));
    Event without = new Event.EndpointsUpdated(ServerListKind.FULL, List.of());
    turn(ready);
    if (attemptInFlight) {
      assertEquals(1, attemptsSentTo(reducer.turn(now, List.of(queryReceived(1, 1, 1))), 1));
    }
    now += 5_000;
    List<Effect> after =
        new ArrayList<>(
            reducer.turn(
                now,
                List.of(
                    queryReceived(2, 0, 1),
                    drainFirst ? drain : without,
                    drainFirst ? without : drain)));
    for (int i = 3; i < 8; i++, now += 60_000) {
      after.addAll(reducer.turn(now, List.of(queryReceived(i, 0, 1))));
    }
    assertEquals(List.of(), attemptsIn(after));
    assertEquals(
        0,
        reducer.counters().get(Counter.SENDS_BLOCKED),
        "the load balancer avoids the endpoint without the send guard");
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.DELTA, List.of(endpoint("a", 0, ServerState.READY).withStart(now))));
    for (int i = 100; i < 160; i++, now += 5_000) {
      turn(queryReceived(i, 0, 1));
    }
    // The limit is 3 (the overload factor) times 15 % of a core for 0.3 s, divided by the minimum
    // work of a request (46 ms), plus one part.
    int sent = attemptsIn(effects).size();
    assertTrue(
        sent > 0 && sent <= (int) (3 * 0.15 * 300_000 / 46_000) + 1,
        "parts sent to a cold store: " + sent);
  }
}
