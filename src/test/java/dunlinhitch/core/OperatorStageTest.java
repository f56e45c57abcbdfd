package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.core.Effect.SendRequest;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Endpoints disabled by an operator. */
class OperatorStageTest extends ReducerTestSupport {
  /** The endpoint is removed from the list, returns as ready and still receives no attempts. */
  @Test
  void aDisabledEndpointStaysDisabledRegardlessOfTheList() {
    listBothEndpoints();
    turn(
        new Event.EndpointDisableRequested(1, "a", true),
        new Event.EndpointDisableRequested(2, "a", true),
        new Event.EndpointDisableRequested(3, "nobody", true));
    assertEquals(
        List.of(
            new Effect.PersistDisabledEndpoint(1, "a", true),
            new Effect.PersistDisabledEndpoint(2, "a", true)),
        effectsOf(Effect.PersistDisabledEndpoint.class));
    assertEquals(
        List.of(new Effect.RejectUnknownEndpoint(3)),
        effectsOf(Effect.RejectUnknownEndpoint.class));
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.FULL, List.of(endpoint("b", 1, ServerState.READY))));
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.DELTA, List.of(endpoint("a", 0, ServerState.READY))));
    int disabledNumber =
        effectsOf(Effect.EndpointChanged.class).stream()
            .filter(c -> c.endpoint().name().equals("a"))
            .findFirst()
            .orElseThrow()
            .number();
    assertTrue(
        effectsOf(Effect.EndpointChanged.class)
            .get(effectsOf(Effect.EndpointChanged.class).size() - 1)
            .disabled());
    assertEquals(1, reducer.status().skippedEndpoints());
    turn(queryReceived(1, 0, 10));
    assertTrue(
        effectsOf(SendRequest.class).stream().noneMatch(call -> call.endpoint() == disabledNumber));
    turn(new Event.EndpointDisableRequested(4, "a", false));
    assertEquals(0, reducer.status().skippedEndpoints());
    assertEquals(0, reducer.counters().get(Counter.SENDS_BLOCKED));
  }

  /**
   * An operator disables an endpoint in the turn in which parts are queued for it; these parts are
   * sent to the other endpoint. The operator's request follows the query in the turn and is handled
   * after it. An endpoint disabled through another process would be handled before the queries of
   * the same turn.
   */
  @Test
  void unsentAttemptsForADisabledEndpointAreWithdrawn() {
    listBothEndpoints();
    turn(queryReceived(1, 0, 10), new Event.EndpointDisableRequested(1, "a", true));
    int disabledNumber = effectsOf(Effect.EndpointChanged.class).get(0).number();
    runFor(50_000);
    assertTrue(
        effectsOf(SendRequest.class).stream().noneMatch(call -> call.endpoint() == disabledNumber));
    assertEquals(
        10, effectsOf(SendRequest.class).stream().mapToInt(call -> call.parts().size()).sum());
  }
}
