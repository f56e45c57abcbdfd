package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.core.Effect.SendRequest;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Configuration reloads and changes of the discovery address. */
class ConfigurationStageTest extends ReducerTestSupport {
  /**
   * A reload inserts another class before the query's class and redefines the query's class. The
   * open query still gets a partial response, which its class allowed at admission; a new query
   * does not. Guards against stale indexes into the list of classes.
   */
  @Test
  void anOpenQueryKeepsTheClassThatItWasAdmittedUnder() {
    listBothEndpoints();
    QueryClass first = reducer.settings().classes().get(0);
    turn(queryReceived(1, 0, 10));
    QueryClass strict = searchClass(first.name(), first, Idempotency.SINGLE_SHOT, 1);
    QueryClass added = searchClass("hall-search", first, Idempotency.FREE, 0.7);
    turn(new Event.ConfigurationReloaded(settingsWith(List.of(added, strict), 2), "127.0.0.1", 9));
    assertEquals(
        new Effect.ChangeDiscoveryAddress("127.0.0.1", 9),
        effectsOf(Effect.ChangeDiscoveryAddress.class).get(0));
    turn(queryReceived(2, 1, 10));
    assertEquals("free-search", reducer.settings().classes().get(1).name());
    effectsOf(SendRequest.class).stream()
        .flatMap(call -> call.parts().stream())
        .filter(p -> p.shard() < 8)
        .forEach(
            p ->
                turn(
                    new Event.AttemptCompleted(p.attempt(), AttemptOutcome.OK, new float[0], "v")));
    runFor(SECOND);
    assertTrue(
        responseTo(1) instanceof QueryResponse.Served s && !s.complete() && s.parts().size() == 8,
        "response: " + responseTo(1));
    assertTrue(
        responseTo(2) instanceof QueryResponse.DeadlineExceeded
            || responseTo(2) instanceof QueryResponse.Failed,
        "response: " + responseTo(2));
    assertEquals(
        List.of("free-search", "slot-booking", "hall-search"),
        reducer.status().classes().stream().map(BrokerStatus.ClassCounts::name).toList());
    assertEquals(1, reducer.status().configurationLoads());
    assertEquals(0, reducer.counters().get(Counter.FAULTS));
  }

  /** Creates a class with the latency objective and deadline of another. */
  private static QueryClass searchClass(
      String name, QueryClass template, Idempotency idempotency, double floor) {
    return new QueryClass(
        name,
        template.latencyObjectiveUs(),
        0,
        template.deadlineUs(),
        idempotency,
        0.1,
        0,
        3,
        false,
        0,
        floor,
        1,
        0.9);
  }

  /**
   * The query's class is removed after the query was read and before it is handled, so no part of
   * it was executed and it can be rejected.
   */
  @Test
  void aQueryOfARemovedClassIsRejected() {
    listBothEndpoints();
    Event queryReadBefore = queryReceived(1, 1, 1);
    turn(
        new Event.ConfigurationReloaded(
            settingsWith(reducer.settings().classes().subList(0, 1), 4), "127.0.0.1", 9),
        queryReadBefore);
    assertTrue(responseTo(1) instanceof QueryResponse.Rejected, "response: " + responseTo(1));
  }

  private static QueryClass withIdempotency(
      QueryClass queryClass, Idempotency idempotency, long windowUs) {
    return new QueryClass(
        queryClass.name(),
        queryClass.latencyObjectiveUs(),
        0,
        queryClass.deadlineUs(),
        idempotency,
        queryClass.lateWeight(),
        windowUs,
        queryClass.priorityWeight(),
        false,
        0,
        queryClass.floor(),
        queryClass.need(),
        queryClass.partialWeight());
  }

  /**
   * Regression: a query was read while its class had no idempotency keys and handled after a reload
   * that requires them. Its parts and their retries were sent without a key.
   */
  @Test
  void aQueryReadWithoutAKeyIsRejectedUnderAnIdempotentClass() {
    listBothEndpoints();
    Event queryReadBefore = queryReceived(1, 0, 1);
    QueryClass idempotent =
        withIdempotency(reducer.settings().classes().get(0), Idempotency.GUARDED, SECOND);
    turn(
        new Event.ConfigurationReloaded(settingsWith(List.of(idempotent), 4), "127.0.0.1", 9),
        queryReadBefore);
    assertEquals(List.of(), effectsOf(SendRequest.class));
    assertTrue(responseTo(1) instanceof QueryResponse.Rejected, "response: " + responseTo(1));
    turn(queryReceived(2, 0, 1));
    assertEquals(
        1, effectsOf(SendRequest.class).size(), "a query read after the reload is admitted");
  }

  /**
   * For an open query, both the load balancer and the send guard use the deduplication window in
   * effect at admission. The reload sets a far longer window, or none.
   */
  @ParameterizedTest
  @CsvSource({"200000, 5000000, 100000, 1", "200000, 5000000, 300000, 0", "5000000, 0, 300000, 1"})
  void anOpenQueryKeepsTheDeduplicationWindowThatItWasAdmittedUnder(
      long ownUs, long newUs, long failsAfterUs, int retries) {
    listBothEndpoints();
    QueryClass first = reducer.settings().classes().get(0);
    QueryClass second = reducer.settings().classes().get(1);
    turn(
        new Event.ConfigurationReloaded(
            settingsWith(List.of(first, withIdempotency(second, Idempotency.GUARDED, ownUs)), 4),
            "127.0.0.1",
            9),
        queryReceived(1, 1, 1));
    long sentUs = now;
    turn(
        new Event.ConfigurationReloaded(
            settingsWith(List.of(withIdempotency(second, Idempotency.GUARDED, newUs), first), 4),
            "127.0.0.1",
            9));
    now += failsAfterUs;
    turn(Event.AttemptCompleted.of(attemptsIn(effects).get(0).attempt(), AttemptOutcome.ERROR));
    runFor(100_000);
    assertEquals(1 + retries, attemptsIn(effects).size());
    assertEquals(
        retries == 0 ? Long.MAX_VALUE : sentUs + ownUs,
        attemptsIn(effects).get(retries).repeatUntilUs());
    assertEquals(
        0, reducer.counters().get(Counter.SENDS_BLOCKED) + reducer.counters().get(Counter.FAULTS));
  }

  /**
   * The first configuration sets the discovery address; a later one changes it only if it contains
   * a different address.
   */
  @Test
  void discoveryMovesOnlyToANewAddress() {
    turn(
        new Event.DiscoveryConfigured("127.0.0.1", 1),
        new Event.DiscoveryConfigured("127.0.0.1", 1));
    assertEquals(1, effectsOf(Effect.ChangeDiscoveryAddress.class).size());
    turn(new Event.DiscoveryConfigured("127.0.0.1", 2));
    assertEquals(
        new Effect.ChangeDiscoveryAddress("127.0.0.1", 2),
        effectsOf(Effect.ChangeDiscoveryAddress.class).get(1));
    assertEquals(1, reducer.counters().get(Counter.DISCOVERY_MOVED));
  }
}
