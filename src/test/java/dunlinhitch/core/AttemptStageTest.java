package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.experiments.fakes.BrokerFixture;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The send guard and the life cycle of attempts, for arbitrary requests of the load balancer. */
class AttemptStageTest {
  private static final long WINDOW_US = 200_000;
  private final List<Effect> effects = new ArrayList<>();
  private long now = 1_000_000_000;
  private final TurnContext context = new TurnContext(withParallelAttempts(), now);
  private final ReducerState state = ReducerState.of(context);
  private final InFlightRegistry registry = state.registry();
  private final AttemptStage attempts =
      new AttemptStage(state, (attempt, outcome, report, value) -> {});

  private static Settings withParallelAttempts() {
    Settings settings = BrokerFixture.settings(40);
    Limits limits = settings.limits();
    return new Settings(
        settings.brokers(),
        settings.zones(),
        settings.zone(),
        settings.tickUs(),
        settings.classes(),
        settings.tenants(),
        settings.overQuotaWeight(),
        settings.layout(),
        new Limits(
            9,
            limits.maxInFlight(),
            limits.mayCancel(),
            limits.mayHealthCheck(),
            true,
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

  private InFlightPart part(Idempotency idempotency) {
    for (int endpoint = 1; endpoint <= 2; endpoint++) {
      registry.endpoints.put(
          endpoint,
          new TrackedEndpoint(
              endpoint,
              new Endpoint(
                  "s" + endpoint,
                  "127.0.0.1",
                  1,
                  0,
                  0,
                  ServerState.READY,
                  1,
                  0,
                  Endpoint.Protocol.FRAMES)));
    }
    QueryClass queryClass =
        new QueryClass("c", 700_000, 0, 2_000_000, idempotency, 0, WINDOW_US, 1, false, 0, 1, 1, 1);
    InFlightQuery query =
        new InFlightQuery(
            1,
            1,
            new QueryRequest(
                "q",
                "k",
                queryClass,
                now + 1_500_000,
                false,
                List.of(new QueryRequest.PartRequest(0, 1, 0)),
                "x"),
            9);
    InFlightPart part = new InFlightPart(2, query, query.request.parts().get(0));
    query.parts.add(part);
    registry.parts.put(2, part);
    return part;
  }

  /** Sends an attempt at the given time and returns it as emitted; null if it was blocked. */
  private Effect.AttemptRequest send(int endpoint, long atUs) {
    now = atUs;
    context.begin(now, now);
    effects.clear();
    attempts.send(2, endpoint, now + 1_000_000);
    attempts.flush(false);
    effects.addAll(context.takeEffects());
    return effects.stream()
        .filter(Effect.SendRequest.class::isInstance)
        .map(e -> ((Effect.SendRequest) e).parts().get(0))
        .findFirst()
        .orElse(null);
  }

  private void end(Effect.AttemptRequest sent, AttemptOutcome outcome) {
    attempts.end(registry.attempts.get(sent.attempt()), outcome);
  }

  /**
   * Regression: of two attempts in flight, the first was rejected and the second was executed. When
   * the first attempt ended, the stage discarded the information that the part may have been
   * executed.
   */
  @Test
  void aHedgedAttemptThatMayHaveExecutedCountsAfterTheFirstIsRejected() {
    part(Idempotency.SINGLE_SHOT);
    Effect.AttemptRequest first = send(1, now);
    assertEquals(null, send(2, now + 1), "a second attempt of a single-shot part is blocked");
    end(first, AttemptOutcome.FULL);
    registry.parts.clear();
    part(Idempotency.GUARDED);
    long startUs = now;
    first = send(1, startUs);
    Effect.AttemptRequest hedged = send(2, startUs + 10_000);
    end(first, AttemptOutcome.FULL);
    end(hedged, AttemptOutcome.RESET);
    assertEquals(
        null,
        send(1, startUs + 10_000 + WINDOW_US + 1),
        "outside the deduplication window of the hedged attempt");
    assertEquals(
        startUs + 10_000 + WINDOW_US, send(1, startUs + 10_000 + WINDOW_US).repeatUntilUs());
  }

  /** The result must not depend on the order in which the attempts end. */
  @Test
  void theDeduplicationWindowStartsWithTheFirstAttemptThatMayHaveExecuted() {
    part(Idempotency.GUARDED);
    long startUs = now;
    Effect.AttemptRequest first = send(1, startUs);
    assertEquals(
        Long.MAX_VALUE,
        first.repeatUntilUs(),
        "a part that was not sent before may be sent at any time");
    Effect.AttemptRequest hedged = send(2, startUs + 10_000);
    end(hedged, AttemptOutcome.ERROR);
    end(first, AttemptOutcome.FULL);
    assertEquals(startUs + 10_000 + WINDOW_US, send(1, startUs + 20_000).repeatUntilUs());
  }
}
