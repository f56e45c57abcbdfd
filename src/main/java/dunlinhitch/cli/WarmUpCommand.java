package dunlinhitch.cli;

import dunlinhitch.config.SettingsReader;
import dunlinhitch.server.WarmUp;
import io.vertx.core.AsyncResult;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.transport.Transport;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;

/** Runs only the warm-up of the hot paths, so that the build can record the loaded classes. */
@Command(
    name = WarmUpCommand.NAME,
    description =
        "Runs test queries over loopback and exits; the build archives the classes that it loads.",
    mixinStandardHelpOptions = true)
final class WarmUpCommand implements Callable<Integer> {
  static final String NAME = "warm-up";

  /** Name of the command in earlier versions; still accepted, but not listed by help. */
  static final String FORMER_NAME = "rehearse";

  private static final int TIMEOUT_S = 20;

  /** Number of queries that is sufficient to load every class of the hot paths. */
  private static final int QUERIES = 20;

  private static final String SETTINGS =
      """
            {"FailureDomains":["here"],"TickUs":1000,
             "Classes":[{"Name":"a","OnTimeUs":1000000,"DeadlineUs":2000000,"Idempotency":"free"}],
             "Domain":{"Positions":1,"InARow":1,"Shards":1,"PerCall":8},
             "Limits":{"MaxAttempts":4,"MayCancel":true,"MayProbe":true,"RetryAfter":true,"MaxRetryAfterUs":500000,
              "ConnectTimeoutUs":250000,"StreamsPerConn":32,"ConnIdleUs":15000000},
             "Report":{"Via":"answers","Fields":["recent_ms","backlog"]}}""";

  private final CountDownLatch ended = new CountDownLatch(1);

  /**
   * True if enough queries were answered. The field need not be volatile: it is written before
   * {@link #ended} is counted down and read after the wait for {@link #ended}.
   */
  private boolean served;

  @Override
  public Integer call() throws InterruptedException {
    Vertx vertx = EventLoop.create(Transport.NIO);
    Context context = vertx.getOrCreateContext();
    context.runOnContext(
        v ->
            new WarmUp(
                    vertx,
                    context,
                    SettingsReader.read(SETTINGS),
                    "127.0.0.1",
                    QUERIES,
                    Long.MAX_VALUE)
                .run()
                .onComplete(this::onEnded));
    boolean succeeded = ended.await(TIMEOUT_S, TimeUnit.SECONDS) && served;
    System.out.println(
        succeeded
            ? "served"
            : "warm-up failed: expected " + QUERIES + " responses within " + TIMEOUT_S + " s");
    return succeeded ? 0 : 1;
  }

  private void onEnded(AsyncResult<Integer> responses) {
    served = responses.succeeded() && responses.result() >= QUERIES;
    ended.countDown();
  }
}
