package dunlinhitch.discovery.dnssd;

import dunlinhitch.core.MicroClock;
import dunlinhitch.endpoints.TimingWheel;
import io.vertx.core.AsyncResult;
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
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.TSIG;

/**
 * Registers this broker in a DNS zone by dynamic updates, so that clients can discover it by
 * DNS-SD. Updates are signed if a key is configured. Confined to the event loop.
 */
public final class RecordRegistrar {
  private static final long UPDATE_TIMEOUT_US = 2_000_000;
  private static final long US_PER_SECOND = 1_000_000;
  private static final long NO_TIMER = -1;

  /** Number of fields in a key file: name, algorithm and secret. */
  private static final int KEY_FILE_FIELDS = 3;

  /**
   * Settings of the registration.
   *
   * @param server address of the DNS server
   * @param serverPort port of the DNS server
   * @param zone zone that is updated
   * @param service name of the service type that the broker is an instance of
   * @param instance label of the instance
   * @param target host label of the broker, below the zone
   * @param host IP address at which clients reach the broker
   * @param port port at which clients reach the broker
   * @param txt strings of the TXT record
   * @param ttlUs TTL of the records in microseconds
   * @param leaseUs requested lease in microseconds
   * @param key key that signs the updates, or null
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
  private final RegistrationStateMachine registration;
  private final Promise<Void> withdrawn = Promise.promise();
  private long timerId = NO_TIMER;
  private boolean closed;

  /** Creates a registrar; nothing is registered before {@link #register}. */
  public RecordRegistrar(Vertx vertx, Settings settings, LongSupplier clock, Consumer<String> log) {
    this.vertx = vertx;
    this.settings = settings;
    this.clock = clock;
    this.log = log;
    SecureRandom messageIds = new SecureRandom();
    resolver =
        new Resolver(vertx, settings.server(), settings.serverPort(), clock, messageIds::nextInt);
    registration =
        new RegistrationStateMachine(
            registrationOf(settings), RandomGenerator.of("L64X128MixRandom"));
  }

  private static ServiceRegistration registrationOf(Settings settings) {
    String instanceLabel = settings.instance().replace("\\", "\\\\").replace(".", "\\.");
    return new ServiceRegistration(
        new ServiceRegistration.OwnerNames(
            settings.zone(),
            settings.service(),
            Names.parse(instanceLabel + "." + settings.service()),
            Names.parse(settings.target() + "." + settings.zone())),
        settings.host(),
        settings.port(),
        settings.txt(),
        settings.ttlUs() / US_PER_SECOND,
        settings.leaseUs() / US_PER_SECOND);
  }

  /**
   * Reads a key file: one line with name, algorithm (such as hmac-sha256) and Base64 secret,
   * separated by white space. The operator must make the file readable by its owner only; this
   * method does not check its permissions.
   */
  public static TSIG readKeyFile(Path file) throws IOException {
    String[] fields = Files.readString(file).trim().split("\\s+", -1);
    if (fields.length != KEY_FILE_FIELDS) {
      throw new IOException(file + ": expected NAME ALGORITHM SECRET, separated by white space");
    }
    try {
      return new TSIG(TSIG.algorithmToName(fields[1]), fields[0], fields[2]);
    } catch (IllegalArgumentException exception) {
      throw new IOException(file + ": " + exception.getMessage(), exception);
    }
  }

  /** Registers the broker, which must be ready to serve, and keeps the registration refreshed. */
  public void register() {
    registration.onReady(clock.getAsLong());
    advance();
  }

  /**
   * Withdraws the registration immediately and retries until {@link #close}. The future succeeds
   * once the server has accepted the withdrawal, or on close.
   */
  public Future<Void> withdraw() {
    registration.onShutdown(clock.getAsLong());
    advance();
    return withdrawn.future();
  }

  /** Stops all updates; records that are still registered remain until their lease expires. */
  public void close() {
    closed = true;
    resolver.close();
    if (timerId != NO_TIMER) {
      vertx.cancelTimer(timerId);
    }
    withdrawn.tryComplete();
  }

  /** Sends the update that is due and sets the timer for the next one. */
  private void advance() {
    if (closed) {
      return;
    }
    if (timerId != NO_TIMER) {
      vertx.cancelTimer(timerId);
      timerId = NO_TIMER;
    }
    long nowUs = clock.getAsLong();
    RegistrationStateMachine.PendingUpdate pending = registration.startUpdate(nowUs);
    if (pending != null) {
      resolver
          .update(pending.update(), settings.key(), nowUs + UPDATE_TIMEOUT_US)
          .onComplete(result -> onUpdateResult(result, pending.withdrawal()));
    }
    if (registration.isWithdrawn()) {
      withdrawn.tryComplete();
    } else if (registration.nextUs() != TimingWheel.NEVER) {
      long delayMs = MicroClock.timerMs(clock.getAsLong(), registration.nextUs());
      timerId = vertx.setTimer(delayMs, id -> onTimer());
    }
  }

  private void onTimer() {
    timerId = NO_TIMER;
    advance();
  }

  private void onUpdateResult(AsyncResult<Message> result, boolean withdrawal) {
    if (result.succeeded() && result.result().getRcode() == Rcode.NOERROR) {
      registration.onAccepted(result.result(), withdrawal);
    } else {
      registration.onFailed(clock.getAsLong(), withdrawal);
      String reason =
          result.failed() ? result.cause().getMessage() : Rcode.string(result.result().getRcode());
      log.accept(
          "DNS registration " + (withdrawal ? "withdrawal failed: " : "update failed: ") + reason);
    }
    advance();
  }
}
