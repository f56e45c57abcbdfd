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
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.FlightStore;
import dunlinhitch.experiments.fakes.Store.Behavior;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.arrow.vector.types.pojo.ArrowType;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the Flight transport directly, without a broker, against a scripted store. */
class FlightTransportTest {
  private final Vertx vertx = Vertx.vertx();
  private final Context context = vertx.getOrCreateContext();
  private final MicroClock systemClock = new MicroClock();
  private volatile long advancedUs;
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

  /**
   * Name of the thread that blocks when it reads the clock; a thread reads the clock just before it
   * sends a call.
   */
  private volatile String blockedThread = "none";

  /** Name of the thread that throws an error when it reads the clock. */
  private volatile String failingThread = "none";

  private volatile CountDownLatch released = new CountDownLatch(0);
  private final FlightTransports stores =
      new FlightTransports(
          vertx,
          context,
          FlightTransportTest::limits,
          new LoadReportParser(() -> BrokerFixture.settings(100).reportFields()),
          this::nowUs,
          events::add);
  private FlightStore store;

  private long nowUs() {
    if (Thread.currentThread().getName().equals(blockedThread)) {
      try {
        released.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (Thread.currentThread().getName().equals(failingThread)) {
      throw new AssertionError("test");
    }
    return systemClock.getAsLong() + advancedUs;
  }

  /** Limits with a connect timeout that is long enough for a busy machine. */
  private static Limits limits() {
    Limits limits = BrokerFixture.settings(100).limits();
    return new Limits(
        limits.maxAttempts(),
        limits.maxInFlight(),
        limits.mayCancel(),
        limits.mayHealthCheck(),
        limits.parallelAttempts(),
        limits.retryAfter(),
        limits.maxRetryAfterUs(),
        1_500_000,
        limits.streamsPerConnection(),
        limits.connectionIdleUs());
  }

  @BeforeEach
  void setUp() throws Exception {
    store = new FlightStore("s");
  }

  @AfterEach
  void tearDown() throws Exception {
    store.close();
    vertx.close();
  }

  private BackendTransport open(int port) {
    return stores.open(
        new Endpoint(
            "s", "127.0.0.1", port, 0, 0, ServerState.READY, 1, 0, Endpoint.Protocol.FLIGHT));
  }

  private void onLoop(Runnable task) {
    context.runOnContext(ignored -> task.run());
  }

  private AttemptRequest part(long attempt, int shard) {
    return new AttemptRequest(attempt, "q." + shard, shard, "", nowUs() + 60_000_000, "text");
  }

  /** Returns the next event other than reports of written calls, which may arrive at any time. */
  private Event nextEvent() throws InterruptedException {
    Event event = events.poll(5, TimeUnit.SECONDS);
    while (event instanceof Event.AttemptsWritten) {
      event = events.poll(5, TimeUnit.SECONDS);
    }
    return event;
  }

  private void expectCompletion(long attempt, AttemptOutcome outcome) throws InterruptedException {
    Event event = nextEvent();
    while (event instanceof Event.ConditionCounted) {
      event = nextEvent();
    }
    assertTrue(event instanceof Event.AttemptCompleted, "unexpected event: " + event);
    assertEquals(attempt, ((Event.AttemptCompleted) event).attempt());
    assertEquals(outcome, ((Event.AttemptCompleted) event).outcome());
  }

  /**
   * No call is sent before the channel is connected, so calls that waited for the connection have
   * not run.
   */
  @ParameterizedTest
  @EnumSource(
      value = ServerState.class,
      names = {"GONE", "WITHDRAWN"})
  void attemptsWithoutConnectionFailAsNeverRun(ServerState newState) throws Exception {
    int port = store.port();
    BackendTransport transport = open(port);
    onLoop(
        () -> {
          transport.send(List.of(part(1, 0)));
          transport.updateState(newState);
          transport.send(List.of(part(2, 0)));
        });
    expectCompletion(1, AttemptOutcome.CONNECT_FAILED);
    expectCompletion(2, AttemptOutcome.CONNECT_FAILED);
    assertEquals(0, store.receivedParts.size());
    store.close();
    onLoop(() -> open(port).send(List.of(part(3, 0))));
    expectCompletion(3, AttemptOutcome.CONNECT_FAILED);
  }

  /**
   * Events after which a call must not be sent; they occur just before the reader thread sends the
   * call.
   */
  enum Stop {
    CANCELLED,
    GONE,
    TOO_LATE
  }

  /**
   * A part that is no longer needed is not sent, although its call was passed to a reader thread.
   */
  @ParameterizedTest
  @CsvSource({
    "CANCELLED, false",
    "CANCELLED, true",
    "GONE, false",
    "GONE, true",
    "TOO_LATE, false",
    "TOO_LATE, true"
  })
  void callStoppedJustBeforeSendingIsNeverSent(Stop stop, boolean first) throws Exception {
    BackendTransport transport = open(store.port());
    onLoop(() -> transport.send(List.of(part(1, 0))));
    expectCompletion(1, AttemptOutcome.OK);
    store.receivedParts.clear();
    released = new CountDownLatch(1);
    blockedThread = "flight-reader";
    onLoop(
        () -> {
          transport.send(
              List.of(2L, 3L).stream()
                  .map(
                      attempt ->
                          new AttemptRequest(
                              attempt,
                              "q." + attempt,
                              0,
                              "k",
                              nowUs() + 60_000_000,
                              nowUs() + 20_000_000,
                              "text",
                              first,
                              null))
                  .toList());
          transport.cancel(2, false);
          if (stop == Stop.CANCELLED) {
            transport.withdraw(3);
          } else if (stop == Stop.GONE) {
            transport.updateState(ServerState.GONE);
          } else {
            advancedUs = 30_000_000;
          }
          released.countDown();
        });
    expectCompletion(3, AttemptOutcome.CONNECT_FAILED);
    assertEquals(0, store.receivedParts.size() + store.firstPasses.size());
  }

  /** Ways in which a row lacks the text of a column. */
  enum Form {
    NULL,
    NO_COLUMN,
    BINARY,
    LARGE_UTF8;

    void apply(FlightStore store, String column) {
      switch (this) {
        case NULL -> store.nullColumns = Set.of(column);
        case NO_COLUMN -> store.removeColumn(column);
        case BINARY -> store.setColumnType(column, ArrowType.Binary.INSTANCE);
        case LARGE_UTF8 -> store.setColumnType(column, ArrowType.LargeUtf8.INSTANCE);
      }
    }
  }

  private Event.AttemptCompleted reply(Form form, String column, Behavior behavior)
      throws Exception {
    form.apply(store, column);
    store.script = part -> behavior;
    BackendTransport transport = open(store.port());
    onLoop(() -> transport.send(List.of(part(1, 0))));
    Event event = nextEvent();
    while (event instanceof Event.ConditionCounted) {
      event = nextEvent();
    }
    assertTrue(event instanceof Event.AttemptCompleted, "unexpected event: " + event);
    return (Event.AttemptCompleted) event;
  }

  /**
   * Guards against an empty answer that no store made: a value, id or outcome that is null, missing
   * or no text is a malformed reply to an attempt that may have run.
   */
  @ParameterizedTest
  @CsvSource({
    "NULL, value",
    "NO_COLUMN, value",
    "BINARY, value",
    "NULL, id",
    "NO_COLUMN, id",
    "BINARY, id",
    "NULL, end",
    "NO_COLUMN, end",
    "BINARY, end"
  })
  void replyWithoutRequiredTextIsMalformed(Form form, String column) throws Exception {
    Event.AttemptCompleted completed = reply(form, column, Behavior.GOOD);
    assertEquals(AttemptOutcome.RESET, completed.outcome());
    assertTrue(completed.unconfirmed());
  }

  /** Both of Arrow's text types are read, in every column. */
  @ParameterizedTest
  @ValueSource(strings = {"id", "end", "score", "report", "value"})
  void largeTextIsRead(String column) throws Exception {
    Event.AttemptCompleted completed = reply(Form.LARGE_UTF8, column, Behavior.GOOD);
    assertEquals(AttemptOutcome.OK, completed.outcome());
    assertEquals("s/0/text", completed.value());
    assertEquals(1, completed.score());
    assertEquals(2, completed.report().length);
  }

  /** Score and load report are optional; a missing one affects nothing else. */
  @ParameterizedTest
  @EnumSource(
      value = Form.class,
      names = {"NULL", "NO_COLUMN", "BINARY"})
  void scoreAndReportAreOptional(Form form) throws Exception {
    Event.AttemptCompleted completed = reply(form, "score", Behavior.GOOD);
    assertEquals("s/0/text", completed.value());
    assertTrue(Double.isNaN(completed.score()));
    store.nullColumns = Set.of();
    completed = reply(form, "report", Behavior.GOOD);
    assertEquals("s/0/text", completed.value());
    assertEquals(0, completed.report().length);
  }

  /** Only an answer needs a value: a rejection or an error without one keeps its meaning. */
  @ParameterizedTest
  @CsvSource({
    "NULL, LATER, FULL",
    "NO_COLUMN, LATER, FULL",
    "NULL, BAD, ERROR",
    "NO_COLUMN, BAD, ERROR",
    "BINARY, LATER, RESET"
  })
  void rejectionNeedsNoValue(Form form, Behavior behavior, AttemptOutcome outcome)
      throws Exception {
    assertEquals(outcome, reply(form, "value", behavior).outcome());
  }

  /** Guards against an attempt that never ends because its reader thread has ended. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void faultOnReaderThreadEndsTheAttempt(boolean firstPass) throws Exception {
    BackendTransport transport = open(store.port());
    failingThread = "flight-reader";
    onLoop(
        () ->
            transport.send(
                List.of(
                    new AttemptRequest(
                        1,
                        "q.0",
                        0,
                        "",
                        nowUs() + 60_000_000,
                        Long.MAX_VALUE,
                        "text",
                        firstPass,
                        null))));
    Event event = nextEvent();
    while (event instanceof Event.ConditionCounted) {
      event = nextEvent();
    }
    assertEquals(Event.AttemptCompleted.class, event == null ? null : event.getClass());
    assertTrue(((Event.AttemptCompleted) event).unconfirmed());
  }

  /** Guards against a store that is never checked again because a check had no result. */
  @Test
  void faultOnActionThreadFailsTheHealthCheck() throws Exception {
    BackendTransport transport = open(store.port());
    failingThread = "flight-action";
    onLoop(() -> transport.sendHealthCheck(7));
    Event event = nextEvent();
    assertTrue(
        event instanceof Event.HealthCheckCompleted completed
            && completed.healthCheck() == 7
            && completed.outcome() == AttemptOutcome.CONNECT_FAILED,
        "unexpected event: " + event);
  }

  /** A busy store replies to a liveness check; without a reply the attempts in flight are lost. */
  @Test
  void leavesChannelOnlyIfLivenessCheckIsUnanswered() throws Exception {
    BackendTransport transport = open(store.port());
    store.script = part -> part.shard() == 0 ? Behavior.NOTHING : Behavior.GOOD;
    onLoop(() -> transport.send(List.of(part(1, 0))));
    for (int i = 0; i < 3; i++) {
      assertTrue(store.livenessChecks.poll(5, TimeUnit.SECONDS) != null);
    }
    store.unresponsive = true;
    expectCompletion(1, AttemptOutcome.RESET);
    store.unresponsive = false;
    onLoop(() -> transport.send(List.of(part(2, 1))));
    expectCompletion(2, AttemptOutcome.OK);
  }

  /** The connection to a dead host stays open, so new calls must use another one. */
  @Test
  void unresponsiveConnectionGetsNoNewCalls() throws Exception {
    BackendTransport transport = open(store.port());
    store.script = part -> part.shard() == 0 ? Behavior.NOTHING : Behavior.GOOD;
    onLoop(() -> transport.send(List.of(part(1, 0))));
    assertTrue(store.receivedParts.poll(5, TimeUnit.SECONDS) != null);
    advancedUs = 1_500_000;
    events.clear();
    released = new CountDownLatch(1);
    blockedThread = "flight-action"; // keeps the cancellation from opening a connection
    onLoop(
        () -> {
          transport.cancel(1, false);
          transport.send(List.of(part(2, 1)));
          released.countDown();
        });
    assertEquals(new Event.ConditionCounted(Counter.CONNECTIONS_OPENED), nextEvent());
    expectCompletion(2, AttemptOutcome.OK);
    assertEquals("q.0", store.cancelledParts.poll(5, TimeUnit.SECONDS));
  }

  private void expectRelease(long attempt) throws InterruptedException {
    Event event = nextEvent();
    while (event instanceof Event.ConditionCounted) {
      event = nextEvent();
    }
    assertEquals(new Event.AttemptReleased(attempt), event);
  }

  @Test
  void storeConfirmationReleasesCancelledAttempt() throws Exception {
    BackendTransport transport = open(store.port());
    store.script = part -> part.shard() == 0 ? Behavior.NOTHING : Behavior.GOOD;
    onLoop(() -> transport.send(List.of(part(1, 0))));
    assertTrue(store.receivedParts.poll(5, TimeUnit.SECONDS) != null);
    onLoop(() -> transport.cancel(1, true));
    expectRelease(1);
    assertEquals("q.0", store.cancelledParts.poll(5, TimeUnit.SECONDS));
  }

  /**
   * If a call times out in gRPC, the store may still have the attempt. The store is notified of the
   * cancellation, and its confirmation releases the attempt.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void timedOutCallStaysUnconfirmedUntilStoreConfirms(boolean firstPass) throws Exception {
    BackendTransport transport = open(store.port());
    store.script = part -> part.shard() == 0 ? Behavior.NOTHING : Behavior.GOOD;
    store.firstAnswer = part -> null;
    onLoop(() -> transport.send(List.of(part(1, 1))));
    expectCompletion(1, AttemptOutcome.OK);
    onLoop(
        () ->
            transport.send(
                List.of(
                    new AttemptRequest(
                        2,
                        "q.0",
                        0,
                        "",
                        nowUs() + 200_000,
                        Long.MAX_VALUE,
                        "text",
                        firstPass,
                        null))));
    Event event = nextEvent();
    while (event instanceof Event.ConditionCounted) {
      event = nextEvent();
    }
    assertTrue(
        event instanceof Event.AttemptCompleted lost
            && lost.attempt() == 2
            && lost.outcome() == AttemptOutcome.RESET
            && lost.unconfirmed(),
        "unexpected event: " + event);
    expectRelease(2);
  }

  /**
   * A cancellation over a later connection may overtake the call itself, so the store's
   * confirmation must not release the attempt.
   */
  @Test
  void confirmationOverLaterConnectionDoesNotReleaseAttempt() throws Exception {
    BackendTransport transport = open(store.port());
    store.script = part -> part.shard() == 0 ? Behavior.NOTHING : Behavior.GOOD;
    onLoop(() -> transport.send(List.of(part(1, 0))));
    assertTrue(store.receivedParts.poll(5, TimeUnit.SECONDS) != null);
    advancedUs = 1_500_000; // after this time without a reply the connection is considered dead
    onLoop(() -> transport.cancel(1, true));
    assertEquals("q.0", store.cancelledParts.poll(5, TimeUnit.SECONDS));
    onLoop(() -> transport.send(List.of(part(2, 1))));
    expectCompletion(2, AttemptOutcome.OK);
  }
}
