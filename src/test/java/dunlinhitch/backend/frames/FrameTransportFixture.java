package dunlinhitch.backend.frames;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.backend.LoadReportParser;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.core.Effect.AttemptRequest;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.experiments.fakes.BrokerFixture;
import dunlinhitch.experiments.fakes.FrameStore;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A transport to a scripted store, with an event loop and a clock that the test can advance. */
abstract class FrameTransportFixture {
  private static final int MAX_CONNECTIONS = 3;

  final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  final BlockingQueue<Event.AttemptCompleted> completions = new LinkedBlockingQueue<>();

  final BlockingQueue<Long> releases = new LinkedBlockingQueue<>();

  /** How far the test has advanced the clock. */
  final AtomicLong advancedUs = new AtomicLong();

  /** Thrown while a reply is read; null to throw nothing. */
  volatile Error reportFault;

  FrameStore store;
  FrameTransport transport;
  private final MicroClock systemClock = new MicroClock();

  @BeforeEach
  void setUp() throws Exception {
    store = new FrameStore(vertx, "s");
    transport = transportTo(store.port());
  }

  @AfterEach
  void tearDown() throws Exception {
    store.close();
    vertx.close().toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
  }

  private List<LoadReportField> reportFields() {
    if (reportFault != null) {
      throw reportFault;
    }
    return BrokerFixture.settings(100).reportFields();
  }

  final long nowUs() {
    return systemClock.getAsLong() + advancedUs.get();
  }

  final FrameTransport transportTo(int port) {
    return transportTo(port, MAX_CONNECTIONS, BrokerFixture.settings(100).limits());
  }

  /**
   * Creates a transport without liveness checks. The number of checks would depend on the duration
   * of the test.
   */
  final FrameTransport withoutLivenessChecks(int port, int maxConnections) {
    Limits limits = BrokerFixture.settings(100).limits();
    return transportTo(
        port,
        maxConnections,
        new Limits(
            limits.maxAttempts(),
            limits.maxInFlight(),
            limits.mayCancel(),
            false,
            limits.parallelAttempts(),
            limits.retryAfter(),
            limits.maxRetryAfterUs(),
            limits.connectTimeoutUs(),
            limits.streamsPerConnection(),
            limits.connectionIdleUs()));
  }

  private FrameTransport transportTo(int port, int maxConnections, Limits limits) {
    return new FrameTransport(shared(vertx, maxConnections, limits), endpoint(port));
  }

  final FrameTransport.Shared shared(Vertx owner, int maxConnections, Limits limits) {
    return new FrameTransport.Shared(
        owner,
        () -> limits,
        () -> maxConnections,
        new LoadReportParser(this::reportFields),
        this::nowUs,
        event -> {
          if (event instanceof Event.AttemptCompleted completion) {
            completions.add(completion);
          } else if (event instanceof Event.AttemptReleased released) {
            releases.add(released.attempt());
          }
        });
  }

  /** Creates the shared resources of a test that handles all events by itself. */
  static FrameTransport.Shared shared(Vertx owner, LongSupplier clock, Consumer<Event> events) {
    return new FrameTransport.Shared(
        owner,
        () -> BrokerFixture.settings(100).limits(),
        () -> 1,
        new LoadReportParser(() -> BrokerFixture.settings(100).reportFields()),
        clock,
        events);
  }

  static Endpoint endpoint(int port) {
    return new Endpoint(
        "s", "127.0.0.1", port, 0, 0, ServerState.READY, 1, 0, Endpoint.Protocol.FRAMES);
  }

  final void onLoop(Runnable task) {
    vertx.runOnContext(ignored -> task.run());
  }

  /** A part whose deadline does not pass during a test, even on a slow machine. */
  final AttemptRequest part(long attempt, int shard) {
    return new AttemptRequest(attempt, "q." + shard, shard, "", nowUs() + 60_000_000, "text");
  }

  final long nextRelease() throws InterruptedException {
    Long released = releases.poll(5, TimeUnit.SECONDS);
    assertTrue(released != null, "no attempt was released");
    return released;
  }

  final Event.AttemptCompleted nextCompletion() throws InterruptedException {
    Event.AttemptCompleted completion = completions.poll(5, TimeUnit.SECONDS);
    assertTrue(completion != null, "no attempt was completed");
    return completion;
  }
}
