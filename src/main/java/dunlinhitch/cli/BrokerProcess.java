package dunlinhitch.cli;

import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.config.Config;
import dunlinhitch.config.ConfigFile;
import dunlinhitch.frontend.http.ClientListener;
import dunlinhitch.server.Broker;
import dunlinhitch.server.HangupSignals;
import dunlinhitch.server.WarmUp;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.time.Instant;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * The life cycle of a broker process: starts the broker on an event loop, reloads the configuration
 * on SIGHUP, and shuts the broker down before the JVM exits.
 */
final class BrokerProcess {
  /**
   * Time limit of the warm-up, counted from the start of the process: the platform waits 6 s for a
   * new process to become ready while the old one still runs.
   */
  private static final long WARM_UP_LIMIT_MS = 4_500;

  /** Number of queries that is sufficient to compile the hot paths. */
  private static final int WARM_UP_QUERIES = 300;

  private static final int SHUTDOWN_TIMEOUT_S = 60;
  private static final long MICROS_PER_MILLI = 1000;

  private final ConfigFile file;
  private final Config config;
  private final ClientListener listener;
  private final HangupSignals hangupSignals;
  private final Vertx vertx;
  private final Context context;
  private final CountDownLatch started = new CountDownLatch(1);
  private volatile Broker broker;
  private volatile Throwable startFailure;

  BrokerProcess(
      ConfigFile file, Config config, ClientListener listener, HangupSignals hangupSignals) {
    this.file = file;
    this.config = config;
    this.listener = listener;
    this.hangupSignals = hangupSignals;
    vertx = EventLoop.create(listener);
    context = vertx.getOrCreateContext();
  }

  /**
   * Starts the broker and returns when it listens; the event loop keeps the process alive.
   *
   * @throws Config.ConfigException if the broker cannot be started
   */
  void start() throws InterruptedException {
    context.runOnContext(v -> startBroker());
    Runtime.getRuntime().addShutdownHook(new Thread(this::onShutdown, "finish"));
    started.await();
    if (startFailure != null) {
      throw new Config.ConfigException("cannot serve: " + startFailure.getMessage());
    }
  }

  private void startBroker() {
    if (!createBroker()) {
      started.countDown();
      return;
    }
    broker
        .listenForAdmin()
        .compose(adminPort -> warmUp().run())
        .compose(responses -> broker.start())
        .onComplete(this::onStarted);
  }

  /** Returns false if the broker cannot be created; {@link #start} then reports the failure. */
  private boolean createBroker() {
    try {
      broker = new Broker(vertx, context, config, System.out::println, listener);
      broker.setConfigurationReader(file::reload);
      hangupSignals.setTask(() -> context.runOnContext(v -> broker.reload(file::reload)));
      return true;
    } catch (RuntimeException | LinkageError failure) {
      startFailure = failure;
      return false;
    }
  }

  private WarmUp warmUp() {
    Instant processStart = ProcessHandle.current().info().startInstant().orElseGet(Instant::now);
    long endUs = (processStart.toEpochMilli() + WARM_UP_LIMIT_MS) * MICROS_PER_MILLI;
    return new WarmUp(
        vertx, context, config.settings(), config.listen().host(), WARM_UP_QUERIES, endUs);
  }

  private void onStarted(AsyncResult<Integer> port) {
    startFailure = port.cause();
    if (port.succeeded()) {
      System.out.println(
          config.name() + " listens on " + config.listen().host() + ":" + port.result());
      for (QueryClass queryClass : config.settings().classes()) {
        System.out.println(
            "class "
                + queryClass.name()
                + ": latency objective "
                + queryClass.latencyObjectiveUs()
                + " us, deadline "
                + queryClass.deadlineUs()
                + " us");
      }
    }
    started.countDown();
  }

  /**
   * Delays the exit of the JVM until all admitted queries are answered. Runs as a shutdown hook.
   */
  private void onShutdown() {
    if (startFailure != null || broker == null) {
      return; // the process exits on its own, with the exit code of the failure
    }
    CountDownLatch ended = new CountDownLatch(1);
    context.runOnContext(v -> broker.stop().onComplete(done -> ended.countDown()));
    try {
      boolean completed = ended.await(SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
      System.out.print(
          (completed ? "" : "shutdown timed out with unanswered queries\n") + broker.counters());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    System.out.flush();
    Runtime.getRuntime().halt(0);
  }
}
