package dunlinhitch.backend.flight;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.backend.BackendTransport;
import dunlinhitch.backend.LoadReportParser;
import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.experiments.fakes.FlightStore;
import dunlinhitch.experiments.fakes.Stage;
import dunlinhitch.experiments.fakes.Store.Do;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The Flight way to one store against a scripted peer: what the rule checks can not see from
 * outside.
 */
class FlightTransportTest {
  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final MicroClock real = new MicroClock();
  private volatile long aheadUs;
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

  /** Threads of that name are held where they ask what time it is: just before they make a call. */
  private volatile String held = "none";

  private volatile CountDownLatch go = new CountDownLatch(0);
  private final FlightStores stores =
      new FlightStores(
          vertx,
          context,
          FlightTransportTest::limits,
          new LoadReportParser(() -> Stage.settings(100).reportFields()),
          this::now,
          events::add);
  private FlightStore store;

  private long now() {
    if (Thread.currentThread().getName().equals(held)) {
      try {
        go.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    return real.getAsLong() + aheadUs;
  }

  /** With time enough for a connection on a busy machine. */
  private static Limits limits() {
    Limits l = Stage.settings(100).limits();
    return new Limits(
        l.maxAttempts(),
        l.maxInFlight(),
        l.mayCancel(),
        l.mayHealthCheck(),
        l.parallelAttempts(),
        l.retryAfter(),
        l.maxRetryAfterUs(),
        1_500_000,
        l.streamsPerConnection(),
        l.connectionIdleUs());
  }

  @BeforeEach
  void begin() throws Exception {
    store = new FlightStore("s");
  }

  @AfterEach
  void end() throws Exception {
    store.close();
    vertx.close();
  }

  private BackendTransport open(int port) {
    return stores.open(
        new Endpoint(
            "s", "127.0.0.1", port, 0, 0, ServerState.READY, 1, 0, Endpoint.Protocol.FLIGHT));
  }

  private void onLoop(Runnable task) {
    context.runOnContext(v -> task.run());
  }

  private AttemptRequest part(long attempt, int shard) {
    return new AttemptRequest(attempt, "q." + shard, shard, "", now() + 60_000_000, "text");
  }

  /** What is reported of written calls comes at a time of its own. */
  private Event next() throws InterruptedException {
    Event event = events.poll(5, TimeUnit.SECONDS);
    while (event instanceof Event.AttemptsWritten) {
      event = events.poll(5, TimeUnit.SECONDS);
    }
    return event;
  }

  private void expect(long attempt, AttemptOutcome outcome) throws InterruptedException {
    Event event = next();
    while (event instanceof Event.ConditionCounted) {
      event = next();
    }
    assertTrue(event instanceof Event.AttemptCompleted, "came: " + event);
    assertEquals(attempt, ((Event.AttemptCompleted) event).attempt());
    assertEquals(outcome, ((Event.AttemptCompleted) event).outcome());
  }

  /** No call is made before the channel is up, so what waited for it is proved not to have run. */
  @ParameterizedTest
  @EnumSource(
      value = ServerState.class,
      names = {"GONE", "WITHDRAWN"})
  void whatNeverGotAConnectionNeverRan(ServerState told) throws Exception {
    int port = store.port();
    BackendTransport transport = open(port);
    onLoop(
        () -> {
          transport.call(List.of(part(1, 0)));
          transport.state(told);
          transport.call(List.of(part(2, 0)));
        });
    expect(1, AttemptOutcome.CONNECT_FAILED);
    expect(2, AttemptOutcome.CONNECT_FAILED);
    assertEquals(0, store.seen.size());
    store.close();
    onLoop(() -> open(port).call(List.of(part(3, 0))));
    expect(3, AttemptOutcome.CONNECT_FAILED);
  }

  /** What ends a wait for a call that its thread is just about to make. */
  enum Stop {
    GIVEN_UP,
    GONE,
    TOO_LATE
  }

  /**
   * A part that nobody waits for any more leaves no more, though its call was handed to a thread.
   */
  @ParameterizedTest
  @CsvSource({
    "GIVEN_UP, false",
    "GIVEN_UP, true",
    "GONE, false",
    "GONE, true",
    "TOO_LATE, false",
    "TOO_LATE, true"
  })
  void whatIsStoppedJustBeforeItsCallIsMadeNeverLeaves(Stop stop, boolean first) throws Exception {
    BackendTransport transport = open(store.port());
    onLoop(() -> transport.call(List.of(part(1, 0))));
    expect(1, AttemptOutcome.OK);
    store.seen.clear();
    go = new CountDownLatch(1);
    held = "flight-reader";
    onLoop(
        () -> {
          transport.call(
              List.of(2L, 3L).stream()
                  .map(
                      n ->
                          new AttemptRequest(
                              n,
                              "q." + n,
                              0,
                              "k",
                              now() + 60_000_000,
                              now() + 20_000_000,
                              "text",
                              first,
                              null))
                  .toList());
          transport.giveUp(2);
          if (stop == Stop.GIVEN_UP) {
            transport.withdraw(3);
          } else if (stop == Stop.GONE) {
            transport.state(ServerState.GONE);
          } else {
            aheadUs = 30_000_000;
          }
          go.countDown();
        });
    expect(3, AttemptOutcome.CONNECT_FAILED);
    assertEquals(0, store.seen.size() + store.firstSeen.size());
  }

  /**
   * As on frames: a busy store answers a check, one from which nothing comes has its parts counted
   * as lost.
   */
  @Test
  void aQuietChannelIsAskedAndLeftOnlyIfItSaysNothing() throws Exception {
    BackendTransport transport = open(store.port());
    store.script = part -> part.shard() == 0 ? Do.NOTHING : Do.GOOD;
    onLoop(() -> transport.call(List.of(part(1, 0))));
    for (int i = 0; i < 3; i++) {
      assertTrue(store.checks.poll(5, TimeUnit.SECONDS) != null);
    }
    store.mute = true;
    expect(1, AttemptOutcome.RESET);
    store.mute = false;
    onLoop(() -> transport.call(List.of(part(2, 1))));
    expect(2, AttemptOutcome.OK);
  }

  /** A machine that vanished leaves its connection open: what is new goes over another. */
  @Test
  void aConnectionThatStaysSilentGetsNothingNew() throws Exception {
    BackendTransport transport = open(store.port());
    store.script = part -> part.shard() == 0 ? Do.NOTHING : Do.GOOD;
    onLoop(() -> transport.call(List.of(part(1, 0))));
    assertTrue(store.seen.poll(5, TimeUnit.SECONDS) != null);
    aheadUs = 1_500_000;
    events.clear();
    go = new CountDownLatch(1);
    held = "flight-action"; // the word of giving up would open the fresh connection as well
    onLoop(
        () -> {
          transport.giveUp(1);
          transport.call(List.of(part(2, 1)));
          go.countDown();
        });
    assertEquals(new Event.ConditionCounted(Counter.CONNECTIONS_OPENED), next());
    expect(2, AttemptOutcome.OK);
    assertEquals("q.0", store.givenUp.poll(5, TimeUnit.SECONDS));
  }
}
