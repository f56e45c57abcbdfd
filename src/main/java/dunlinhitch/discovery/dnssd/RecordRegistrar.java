package dunlinhitch.discovery.dnssd;

import dunlinhitch.core.MicroClock;
import dunlinhitch.endpoints.TimingWheel;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.TSIG;

/**
 * Announces the broker itself to clients that look for it, by signed updates of a zone. On the
 * event loop.
 */
public final class RecordRegistrar {
  private static final long ANSWER_US = 2_000_000;

  /**
   * {@code key} null: updates are not signed. {@code host} and {@code port} are where clients reach
   * the broker.
   */
  public record Settings(
      String server,
      int serverPort,
      Name zone,
      Name service,
      String instance,
      String target,
      String host,
      int port,
      List<String> txt,
      long ttlUs,
      long leaseUs,
      TSIG key) {}

  private final Vertx vertx;
  private final Settings settings;
  private final LongSupplier clock;
  private final Consumer<String> log;
  private final Resolver resolver;
  private final RegistrationStateMachine plan;
  private final Promise<Void> left = Promise.promise();
  private long timer = -1;
  private boolean closed;

  public RecordRegistrar(Vertx vertx, Settings settings, LongSupplier clock, Consumer<String> log) {
    this.vertx = vertx;
    this.settings = settings;
    this.clock = clock;
    this.log = log;
    SecureRandom random = new SecureRandom();
    resolver =
        new Resolver(vertx, settings.server(), settings.serverPort(), clock, random::nextInt);
    Name instance =
        Names.parse(
            settings.instance().replace("\\", "\\\\").replace(".", "\\.")
                + "."
                + settings.service());
    Name target = Names.parse(settings.target() + "." + settings.zone());
    plan =
        new RegistrationStateMachine(
            new RegistrationStateMachine.Content(
                settings.zone(),
                settings.service(),
                instance,
                target,
                settings.host(),
                settings.port(),
                settings.txt(),
                settings.ttlUs() / 1_000_000,
                settings.leaseUs() / 1_000_000),
            RandomGenerator.of("L64X128MixRandom"));
  }

  /**
   * A key file: one line of name, algorithm (such as hmac-sha256) and secret in Base64; only its
   * owner may read it.
   */
  public static TSIG key(Path file) throws IOException {
    String[] words = Files.readString(file).trim().split("\\s+");
    if (words.length != 3) {
      throw new IOException(file + " does not hold NAME ALGORITHM SECRET");
    }
    try {
      return new TSIG(TSIG.algorithmToName(words[1]), words[0], words[2]);
    } catch (IllegalArgumentException e) {
      throw new IOException(file + ": " + e.getMessage(), e);
    }
  }

  public void ready() {
    plan.ready(clock.getAsLong());
    pump();
  }

  /** Withdraws at once; over when the server said yes. It is tried until {@link #close}. */
  public Future<Void> withdraw() {
    plan.ending(clock.getAsLong());
    pump();
    return left.future();
  }

  public boolean isHeld() {
    return plan.isHeld();
  }

  public void close() {
    closed = true;
    resolver.close();
    if (timer >= 0) {
      vertx.cancelTimer(timer);
    }
    left.tryComplete();
  }

  private void pump() {
    if (closed) {
      return;
    }
    if (timer >= 0) {
      vertx.cancelTimer(timer);
      timer = -1;
    }
    long now = clock.getAsLong();
    RegistrationStateMachine.Step step = plan.due(now);
    if (step != null) {
      boolean withdrawal = step.withdrawal();
      resolver
          .update(step.update(), settings.key(), now + ANSWER_US)
          .onComplete(
              done -> {
                boolean took = done.succeeded() && done.result().getRcode() == Rcode.NOERROR;
                if (took) {
                  plan.done(clock.getAsLong(), done.result(), withdrawal);
                } else {
                  plan.failed(clock.getAsLong(), withdrawal);
                  log.accept(
                      "announcement "
                          + (withdrawal ? "not withdrawn: " : "not taken: ")
                          + (done.failed()
                              ? done.cause().getMessage()
                              : Rcode.string(done.result().getRcode())));
                }
                pump();
              });
    }
    if (plan.isLeft()) {
      left.tryComplete();
    } else if (plan.nextUs() != TimingWheel.NEVER) {
      timer =
          vertx.setTimer(
              MicroClock.timerMs(clock.getAsLong(), plan.nextUs()),
              t -> {
                timer = -1;
                pump();
              });
    }
  }
}
