package dunlinhitch.core;

import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.Effect.SendRequest;
import dunlinhitch.core.QueryRequest.PartRequest;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * A reducer on a manual clock with at most two endpoints, and the effects it has emitted so far.
 */
abstract class ReducerTestSupport {
  static final long SECOND = 1_000_000;
  long now = 1_000 * SECOND;
  final Reducer reducer = new Reducer(BrokerFixture.settings(40), 7, now);
  final List<Effect> effects = new ArrayList<>();

  void turn(Event... events) {
    effects.addAll(reducer.turn(now, List.of(events)));
  }

  void runFor(long durationUs) {
    for (long end = now + durationUs; now < end; now += 5_000) {
      turn();
    }
  }

  /** Like {@link #runFor}, with endpoints that read each cancellation before the next turn. */
  void runForWithPromptEndpoints(long durationUs) {
    int handled = effects.size();
    for (long end = now + durationUs; now < end; now += 5_000) {
      List<Event> released = releasesOf(effects.subList(handled, effects.size()));
      handled = effects.size();
      turn(released.toArray(Event[]::new));
    }
  }

  /**
   * Returns an {@link Event.AttemptReleased} for each cancellation in {@code effects} that the edge
   * must confirm, as if the endpoint had read it.
   */
  static List<Event> releasesOf(List<Effect> effects) {
    return effects.stream()
        .filter(effect -> effect instanceof Effect.CancelAttempt cancel && cancel.confirm())
        .map(effect -> (Event) new Event.AttemptReleased(((Effect.CancelAttempt) effect).attempt()))
        .toList();
  }

  static Endpoint endpoint(String name, int cell, ServerState state) {
    return new Endpoint(
        name, "127.0.0.1", 7000 + cell, 0, cell, state, 1, 0, Endpoint.Protocol.FRAMES);
  }

  void listBothEndpoints() {
    turn(
        new Event.EndpointsUpdated(
            ServerListKind.FULL,
            List.of(endpoint("a", 0, ServerState.READY), endpoint("b", 1, ServerState.READY))));
  }

  Event queryReceived(long exchange, int queryClass, int partCount) {
    List<PartRequest> partRequests =
        IntStream.range(0, partCount)
            .mapToObj(i -> new PartRequest(i, 1.0 / partCount, 0))
            .toList();
    return new Event.QueryReceived(
        exchange,
        new QueryRequest(
            "q" + exchange,
            "",
            reducer.settings().classes().get(queryClass),
            now + 900_000,
            false,
            partRequests,
            "x"));
  }

  <T extends Effect> List<T> effectsOf(Class<T> kind) {
    return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
  }

  QueryResponse responseTo(long exchange) {
    return effectsOf(Effect.SendResponse.class).stream()
        .filter(r -> r.exchange() == exchange)
        .map(Effect.SendResponse::response)
        .reduce(
            (one, two) -> {
              throw new AssertionError("two responses for one exchange");
            })
        .orElse(null);
  }

  /** The number of attempts sent to an endpoint in a turn. */
  long attemptsSentTo(List<Effect> turn, int endpointNumber) {
    return turn.stream()
        .filter(SendRequest.class::isInstance)
        .map(SendRequest.class::cast)
        .filter(c -> c.endpoint() == endpointNumber)
        .mapToLong(c -> c.parts().size())
        .sum();
  }

  List<Effect.AttemptRequest> attemptsIn(List<Effect> turn) {
    return turn.stream()
        .filter(SendRequest.class::isInstance)
        .map(SendRequest.class::cast)
        .flatMap(c -> c.parts().stream())
        .toList();
  }

  static Event bothEndpointsListed() {
    return new Event.EndpointsUpdated(
        ServerListKind.FULL,
        List.of(endpoint("a", 0, ServerState.READY), endpoint("b", 1, ServerState.READY)));
  }

  static Set<Long> attemptIds(List<Effect.AttemptRequest> parts) {
    return parts.stream().map(Effect.AttemptRequest::attempt).collect(Collectors.toSet());
  }

  /** The default test settings with the given classes and limit of attempts. */
  static Settings settingsWith(List<QueryClass> classes, int attempts) {
    return settingsWith(BrokerFixture.settings(40), classes, attempts, true);
  }

  static Settings settingsWith(
      Settings settings, List<QueryClass> classes, int attempts, boolean mayCancel) {
    Limits limits = settings.limits();
    return new Settings(
        settings.brokers(),
        settings.zones(),
        settings.zone(),
        settings.tickUs(),
        classes,
        settings.tenants(),
        settings.overQuotaWeight(),
        settings.layout(),
        new Limits(
            attempts,
            limits.maxInFlight(),
            mayCancel,
            limits.mayHealthCheck(),
            limits.parallelAttempts(),
            limits.retryAfter(),
            limits.maxRetryAfterUs(),
            limits.connectTimeoutUs(),
            limits.streamsPerConnection(),
            limits.connectionIdleUs()),
        settings.rules(),
        settings.prices(),
        settings.mustPollServerList(),
        settings.reportsInAnswers(),
        settings.reportsInHealthChecks(),
        settings.reportFields(),
        settings.clientsMarkRetries());
  }
}
