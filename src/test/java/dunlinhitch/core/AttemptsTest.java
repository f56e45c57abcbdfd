package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.InFlightRegistry.AttemptRow;
import dunlinhitch.core.InFlightRegistry.PartRow;
import dunlinhitch.core.InFlightRegistry.QueryRow;
import dunlinhitch.core.InFlightRegistry.StoreRow;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.experiments.fakes.Stage;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The last guard of the rules on attempts, whatever the decisions ask for. */
class AttemptsTest {
  private static final long WINDOW_US = 200_000;
  private final List<Effect> effects = new ArrayList<>();
  private final InFlightRegistry tables = new InFlightRegistry();
  private long now = 1_000_000_000;
  private final Attempts attempts =
      new Attempts(
          tables,
          new Counters(),
          new Attempts.Host() {
            @Override
            public long now() {
              return now;
            }

            @Override
            public Settings settings() {
              return withCopies();
            }

            @Override
            public void effect(Effect effect) {
              effects.add(effect);
            }

            @Override
            public void due(long atUs, long attempt) {}

            @Override
            public void owe(BalancerEvent event) {}

            @Override
            public void ended(
                AttemptRow row, AttemptOutcome outcome, float[] report, String value) {}
          });

  private static Settings withCopies() {
    Settings s = Stage.settings(40);
    Limits l = s.limits();
    return new Settings(
        s.brokers(),
        s.zones(),
        s.zone(),
        s.tickUs(),
        s.classes(),
        s.tenants(),
        s.overQuotaWeight(),
        s.layout(),
        new Limits(
            9,
            l.maxInFlight(),
            l.mayCancel(),
            l.mayHealthCheck(),
            true,
            l.retryAfter(),
            l.maxRetryAfterUs(),
            l.connectTimeoutUs(),
            l.streamsPerConnection(),
            l.connectionIdleUs()),
        s.rules(),
        s.prices(),
        s.mustPollServerList(),
        s.reportsInAnswers(),
        s.reportsInHealthChecks(),
        s.reportFields(),
        s.marksRepeats());
  }

  private PartRow part(Idempotency repeat) {
    for (int store = 1; store <= 2; store++) {
      tables.stores.put(
          store,
          new StoreRow(
              store,
              new Endpoint(
                  "s" + store,
                  "127.0.0.1",
                  1,
                  0,
                  0,
                  ServerState.READY,
                  1,
                  0,
                  Endpoint.Protocol.FRAMES)));
    }
    QueryClass kind =
        new QueryClass("c", 700_000, 0, 2_000_000, repeat, 0, WINDOW_US, 1, false, 0, 1, 1, 1);
    QueryRow q =
        new QueryRow(
            1,
            1,
            new QueryRequest(
                "q",
                "k",
                kind,
                now + 1_500_000,
                false,
                List.of(new QueryRequest.PartRequest(0, 1, 0)),
                "x"),
            9);
    PartRow part = new PartRow(2, q, q.ask.parts().get(0));
    q.parts.add(part);
    tables.parts.put(2, part);
    return part;
  }

  /** Sends it at that time, and returns it as it leaves; null where it does not. */
  private Effect.AttemptRequest send(int store, long atUs) {
    now = atUs;
    effects.clear();
    attempts.send(2, store, now + 1_000_000);
    attempts.flush(false);
    return effects.stream()
        .filter(Effect.SendRequest.class::isInstance)
        .map(e -> ((Effect.SendRequest) e).parts().get(0))
        .findFirst()
        .orElse(null);
  }

  private void end(Effect.AttemptRequest sent, AttemptOutcome outcome) {
    attempts.end(tables.attempts.get(sent.attempt()), outcome);
  }

  /**
   * The first of two copies that were out together was turned away; the other has run: that was
   * forgotten with the first's end.
   */
  @Test
  void aCopyThatMayHaveRunIsNotForgottenWithTheFirstThatDidNot() {
    part(Idempotency.SINGLE_SHOT);
    Effect.AttemptRequest first = send(1, now);
    assertEquals(null, send(2, now + 1), "a copy of what may run once only");
    end(first, AttemptOutcome.FULL);
    tables.parts.clear();
    part(Idempotency.GUARDED);
    long begun = now;
    first = send(1, begun);
    Effect.AttemptRequest copy = send(2, begun + 10_000);
    end(first, AttemptOutcome.FULL);
    end(copy, AttemptOutcome.RESET);
    assertEquals(null, send(1, begun + 10_000 + WINDOW_US + 1), "outside the window of the copy");
    assertEquals(begun + 10_000 + WINDOW_US, send(1, begun + 10_000 + WINDOW_US).repeatUntilUs());
  }

  /** It counts from the first that may have run, in whichever order they end. */
  @Test
  void theWindowCountsFromTheFirstThatMayHaveRun() {
    part(Idempotency.GUARDED);
    long begun = now;
    Effect.AttemptRequest first = send(1, begun);
    assertEquals(Long.MAX_VALUE, first.repeatUntilUs(), "it has not been sent before");
    Effect.AttemptRequest copy = send(2, begun + 10_000);
    end(copy, AttemptOutcome.ERROR);
    end(first, AttemptOutcome.FULL);
    assertEquals(begun + 10_000 + WINDOW_US, send(1, begun + 20_000).repeatUntilUs());
  }
}
