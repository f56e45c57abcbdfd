package dunlinhitch.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.core.Tables.AttemptRow;
import dunlinhitch.core.Tables.PartRow;
import dunlinhitch.core.Tables.QueryRow;
import dunlinhitch.core.Tables.StoreRow;
import dunlinhitch.decide.Routing;
import dunlinhitch.decide.Routing.Limits;
import dunlinhitch.decide.Routing.Outcome;
import dunlinhitch.decide.Routing.QueryClass;
import dunlinhitch.decide.Routing.Repeat;
import dunlinhitch.decide.Routing.ServerState;
import dunlinhitch.decide.Routing.Settings;
import dunlinhitch.lab.standin.Stage;
import dunlinhitch.membership.StoreEntry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The last guard of the rules on attempts, whatever the decisions ask for. */
class AttemptsTest {
  private static final long WINDOW_US = 200_000;
  private final List<Effect> effects = new ArrayList<>();
  private final Tables tables = new Tables();
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
            public void owe(Routing.Event event) {}

            @Override
            public void ended(AttemptRow row, Outcome outcome, float[] report, String value) {}
          });

  private static Settings withCopies() {
    Settings s = Stage.settings(40);
    Limits l = s.limits();
    return new Settings(
        s.aggregators(),
        s.zones(),
        s.zone(),
        s.tickUs(),
        s.classes(),
        s.tenants(),
        s.overShareWorth(),
        s.layout(),
        new Limits(
            9,
            l.mostHeld(),
            l.mayCancel(),
            l.mayProbe(),
            true,
            l.retryAfter(),
            l.maxRetryAfterUs(),
            l.connectTimeoutUs(),
            l.streamsPerConnection(),
            l.connectionIdleUs()),
        s.rules(),
        s.prices(),
        s.mustAskForList(),
        s.reportsInAnswers(),
        s.reportsInProbes(),
        s.reportFields(),
        s.marksRepeats());
  }

  private PartRow part(Repeat repeat) {
    for (int store = 1; store <= 2; store++) {
      tables.stores.put(
          store,
          new StoreRow(
              store,
              new StoreEntry(
                  "s" + store,
                  "127.0.0.1",
                  1,
                  0,
                  0,
                  ServerState.READY,
                  1,
                  0,
                  StoreEntry.StoreWire.FRAMES)));
    }
    QueryClass kind =
        new QueryClass("c", 700_000, 0, 2_000_000, repeat, 0, WINDOW_US, 1, false, 0, 1, 1, 1);
    QueryRow q =
        new QueryRow(
            1,
            1,
            new QueryAsk(
                "q",
                "k",
                kind,
                now + 1_500_000,
                false,
                List.of(new QueryAsk.PartAsk(0, 1, 0)),
                "x"),
            9);
    PartRow part = new PartRow(2, q, q.ask.parts().get(0));
    q.parts.add(part);
    tables.parts.put(2, part);
    return part;
  }

  /** Sends it at that time, and returns it as it leaves; null where it does not. */
  private Effect.PartSend send(int store, long atUs) {
    now = atUs;
    effects.clear();
    attempts.send(2, store, now + 1_000_000);
    attempts.flush(false);
    return effects.stream()
        .filter(Effect.SendCall.class::isInstance)
        .map(e -> ((Effect.SendCall) e).parts().get(0))
        .findFirst()
        .orElse(null);
  }

  private void end(Effect.PartSend sent, Outcome outcome) {
    attempts.end(tables.attempts.get(sent.attempt()), outcome);
  }

  /**
   * The first of two copies that were out together was turned away; the other has run: that was
   * forgotten with the first's end.
   */
  @Test
  void aCopyThatMayHaveRunIsNotForgottenWithTheFirstThatDidNot() {
    part(Repeat.SINGLE_SHOT);
    Effect.PartSend first = send(1, now);
    assertEquals(null, send(2, now + 1), "a copy of what may run once only");
    end(first, Outcome.FULL);
    tables.parts.clear();
    part(Repeat.GUARDED);
    long begun = now;
    first = send(1, begun);
    Effect.PartSend copy = send(2, begun + 10_000);
    end(first, Outcome.FULL);
    end(copy, Outcome.RESET);
    assertEquals(null, send(1, begun + 10_000 + WINDOW_US + 1), "outside the window of the copy");
    assertEquals(begun + 10_000 + WINDOW_US, send(1, begun + 10_000 + WINDOW_US).repeatUntilUs());
  }

  /** It counts from the first that may have run, in whichever order they end. */
  @Test
  void theWindowCountsFromTheFirstThatMayHaveRun() {
    part(Repeat.GUARDED);
    long begun = now;
    Effect.PartSend first = send(1, begun);
    assertEquals(Long.MAX_VALUE, first.repeatUntilUs(), "it has not been sent before");
    Effect.PartSend copy = send(2, begun + 10_000);
    end(copy, Outcome.ERROR);
    end(first, Outcome.FULL);
    assertEquals(begun + 10_000 + WINDOW_US, send(1, begun + 20_000).repeatUntilUs());
  }
}
