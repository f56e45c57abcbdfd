package dunlinhitch.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.core.QueryResponse;
import dunlinhitch.core.Reducer;
import dunlinhitch.experiments.fakes.BrokerFixture;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Turns of the reducer on an event loop. */
class ReducerLoopTest {
  /** A response that cannot be written must not prevent the responses to other clients. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void faultInAHandlerDoesNotStopTheOtherEffects(boolean error) throws Exception {
    Vertx vertx = Vertx.vertx();
    Context context = vertx.getOrCreateContext();
    MicroClock clock = new MicroClock();
    BlockingQueue<Long> replies = new LinkedBlockingQueue<>();
    BlockingQueue<Throwable> faults = new LinkedBlockingQueue<>();
    context.runOnContext(
        v -> {
          Reducer reducer = new Reducer(BrokerFixture.settings(1), 1, clock.getAsLong());
          ReducerLoop loop =
              new ReducerLoop(vertx, context, reducer, clock, () -> 5_000, faults::add);
          loop.setEffectHandler(
              effect -> {
                if (effect instanceof Effect.SendResponse reply) {
                  replies.add(reply.exchange());
                  if (error) {
                    throw new AssertionError("a write that fails");
                  }
                  throw new IllegalStateException("a write that fails");
                }
              });
          for (long exchange = 1; exchange <= 2; exchange++) {
            loop.accept(
                new Event.QueryReceived(
                    exchange,
                    new QueryRequest(
                        "q" + exchange,
                        "",
                        BrokerFixture.settings(100).classes().get(0),
                        clock.getAsLong() + 1_000_000,
                        false,
                        List.of(new QueryRequest.PartRequest(0, 1, 0)),
                        "x")));
          }
          loop.accept(new Event.ConditionCounted(Counter.FAULTS));
        });
    assertEquals(1, replies.poll(5, TimeUnit.SECONDS));
    assertEquals(2, replies.poll(5, TimeUnit.SECONDS));
    assertEquals("a write that fails", faults.poll(5, TimeUnit.SECONDS).getMessage());
    vertx.close();
  }

  /**
   * Guards against requests that never get a response because they are read after the reducer has
   * shut down.
   */
  @Test
  void queriesAfterShutdownCompletedAreRejected() throws Exception {
    Vertx vertx = Vertx.vertx();
    Context context = vertx.getOrCreateContext();
    MicroClock clock = new MicroClock();
    BlockingQueue<Object> effects = new LinkedBlockingQueue<>();
    ReducerLoop[] loop = {null};
    context.runOnContext(
        v -> {
          loop[0] =
              new ReducerLoop(
                  vertx,
                  context,
                  new Reducer(BrokerFixture.settings(1), 1, clock.getAsLong()),
                  clock,
                  () -> 5_000,
                  effects::add);
          loop[0].setEffectHandler(effects::add);
          loop[0].accept(new Event.ShutdownRequested());
        });
    Object effect = effects.poll(5, TimeUnit.SECONDS);
    while (!(effect instanceof Effect.ShutdownCompleted)) {
      assertTrue(effect != null, "shutdown does not complete");
      effect = effects.poll(5, TimeUnit.SECONDS);
    }
    // a turn that was already due may still accept the first query
    for (long exchange = 1; exchange <= 3; exchange++) {
      Event late =
          new Event.QueryReceived(
              exchange,
              new QueryRequest(
                  "q" + exchange,
                  "",
                  BrokerFixture.settings(100).classes().get(0),
                  clock.getAsLong() + 1_000_000,
                  false,
                  List.of(new QueryRequest.PartRequest(0, 1, 0)),
                  "x"));
      context.runOnContext(v -> loop[0].accept(late));
      Object answered = effects.poll(5, TimeUnit.SECONDS);
      assertTrue(
          answered instanceof Effect.SendResponse reply
              && reply.exchange() == exchange
              && reply.response() instanceof QueryResponse.Rejected,
          "" + answered);
    }
    vertx.close();
  }
}
