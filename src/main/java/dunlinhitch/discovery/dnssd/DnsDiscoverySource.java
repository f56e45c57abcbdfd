package dunlinhitch.discovery.dnssd;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.discovery.DiscoverySource;
import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.TimingWheel;
import io.vertx.core.AsyncResult;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Type;

/**
 * Discovers one service through one DNS server. {@link ServiceRecords} decides what to query and
 * derives the claims, {@link Resolver} sends the queries, and {@link PushClient} receives changes
 * if a push server is configured. Confined to the event loop.
 */
public final class DnsDiscoverySource implements DiscoverySource {
  /** Time limit of a query, including its retries without EDNS and over TCP. */
  private static final long QUERY_TIMEOUT_US = 1_000_000;

  /** Consecutive failed queries after which the source is reported as unavailable. */
  private static final int UNAVAILABLE_AFTER_FAILURES = 3;

  private static final long NO_TIMER = -1;
  private static final long US_PER_MS = 1_000;

  /**
   * A push server.
   *
   * @param host host name or address
   * @param port TCP port
   * @param trust PEM file of trusted certificates, or null for the system's trust store
   * @param serverName name for SNI, or null for the host
   */
  public record Push(String host, int port, Path trust, String serverName) {}

  /**
   * Settings of one source.
   *
   * @param source name of the source
   * @param rank precedence of its claims over those of other sources; the lowest rank wins
   * @param host address of the DNS server
   * @param port port of the DNS server
   * @param service name of the service
   * @param browsedNames names to browse: the service, or its subtypes
   * @param zone zone whose SOA serial is polled
   * @param serialPollIntervalUs interval of the serial polls in microseconds; 0 disables them
   *     unless there is a push server
   * @param pushServer the push server, or null
   * @param limits limits on instances and queries
   */
  public record Settings(
      String source,
      int rank,
      String host,
      int port,
      Name service,
      List<Name> browsedNames,
      Name zone,
      long serialPollIntervalUs,
      Push pushServer,
      ServiceRecords.Limits limits) {}

  private final Vertx vertx;
  private final Settings settings;
  private final DiscoveryContext context;
  private final ServiceRecords records;
  private final Resolver resolver;
  private final ZoneSerialPoller serialPoller;

  /** The client of the push server, or null if none is configured. */
  private final PushClient pushClient;

  private int consecutiveFailures;
  private long countedUnexpectedResponses;
  private long timerId = NO_TIMER;
  private long timerDueUs = TimingWheel.NEVER;
  private boolean answered;
  private boolean loggedMissingSerial;
  private boolean stopped;

  /** Creates a stopped source. The {@code seed} determines its delays; 0 makes them random. */
  public DnsDiscoverySource(
      Vertx vertx,
      Settings settings,
      EndpointListReader reader,
      Consumer<Event> events,
      Consumer<String> log,
      LongSupplier clock,
      long seed) {
    this.vertx = vertx;
    this.settings = settings;
    context = new DiscoveryContext(settings.source(), events, log, clock);
    RandomGenerator random =
        seed == 0 ? RandomGenerator.of("L64X128MixRandom") : new SplittableRandom(seed);
    records =
        new ServiceRecords(
            settings.browsedNames(),
            new TxtRecordParser(reader),
            settings.limits(),
            random,
            context.nowUs());
    SecureRandom messageIds = new SecureRandom();
    resolver = new Resolver(vertx, settings.host(), settings.port(), clock, messageIds::nextInt);
    pushClient =
        settings.pushServer() == null
            ? null
            : new PushClient(vertx, settings.pushServer(), context, records, random, this::advance);
    serialPoller =
        new ZoneSerialPoller(
            settings.serialPollIntervalUs(), settings.pushServer() != null, context.nowUs());
  }

  /** Returns the name of the source in events and log lines. */
  public String name() {
    return settings.source();
  }

  /** Restores the keys of claims persisted by an earlier process; call it before the start. */
  public void restoreClaims(Collection<String> keys) {
    records.restore(keys);
  }

  @Override
  public void start() {
    context.emit(new Event.SourceRegistered(settings.source(), settings.rank()));
    advance();
  }

  @Override
  public void follow(String host, int port) {
    // Has no effect, because this source queries a DNS server and not the discovery service.
  }

  @Override
  public void stop() {
    stopped = true;
    if (timerId != NO_TIMER) {
      vertx.cancelTimer(timerId);
    }
    resolver.close();
    if (pushClient != null) {
      pushClient.stop();
    }
  }

  @Override
  public void resync() {
    records.refreshAll(context.nowUs());
    probePushSession();
    advance();
  }

  @Override
  public boolean hasAnswered() {
    return answered;
  }

  /** Returns all instances as their records describe them, for display. */
  public List<ServiceRecords.InstanceDescription> describeInstances() {
    return records.describeInstances();
  }

  /** Returns true while a push session is up. */
  public boolean isPushSessionUp() {
    return pushClient != null && pushClient.isUp();
  }

  /** Performs all due work, emits changed claims and schedules the timer for the next due time. */
  private void advance() {
    if (stopped) {
      return;
    }
    long nowUs = context.nowUs();
    pollSerial(nowUs);
    for (Question question : records.startQueries(nowUs)) {
      resolver
          .query(question, nowUs + QUERY_TIMEOUT_US)
          .onComplete(result -> onQueryResult(question, result));
    }
    if (pushClient != null) {
      pushClient.advance(nowUs);
    }
    emitClaims(nowUs);
    countFaults();
    reportDoubts(nowUs);
    scheduleTimer(nextUs());
  }

  private void onQueryResult(Question question, AsyncResult<Message> result) {
    if (stopped) {
      return;
    }
    if (result.succeeded() && isUsable(result.result())) {
      consecutiveFailures = 0;
      answered = true;
      records.onResponse(context.nowUs(), question, result.result());
    } else {
      countFailure();
      records.onFailure(context.nowUs(), question);
    }
    advance();
  }

  private static boolean isUsable(Message response) {
    return response.getRcode() == Rcode.NOERROR || response.getRcode() == Rcode.NXDOMAIN;
  }

  private void countFailure() {
    consecutiveFailures++;
    if (consecutiveFailures == UNAVAILABLE_AFTER_FAILURES) {
      context.emit(new Event.SourceUnavailable(settings.source()));
      context.logLine(settings.source() + " does not answer; its last known records remain in use");
    }
  }

  private void emitClaims(long nowUs) {
    ServiceRecords.ClaimUpdate update = records.drainClaims(nowUs);
    if (update.snapshot() || !update.claims().isEmpty()) {
      context.emit(new Event.SourceUpdated(settings.source(), update.snapshot(), update.claims()));
    }
  }

  /** Logs and counts what was missed while no change could be received. */
  private void reportDoubts(long nowUs) {
    DoubtMonitor.Report report = records.drainDoubtReport(nowUs);
    if (report == null) {
      return;
    }
    int missed = report.added() + report.removed();
    boolean ended = report.pending() == 0;
    if (ended) {
      count(Counter.DNS_SETS_COMPARED, report.sets());
      count(Counter.DNS_CHANGES_MISSED, missed);
    }
    if (!ended || missed > 0) {
      context.logLine(settings.source() + ": " + describe(report));
    }
  }

  private static String describe(DoubtMonitor.Report report) {
    String found =
        report.sets()
            + " record sets compared in "
            + report.durationUs() / US_PER_MS
            + " ms: "
            + report.removed()
            + " records gone, "
            + report.added()
            + " new";
    return report.pending() == 0 ? found : found + ", " + report.pending() + " sets in doubt";
  }

  private void count(Counter counter, int times) {
    for (int i = 0; i < times; i++) {
      context.emit(new Event.ConditionCounted(counter));
    }
  }

  private void countFaults() {
    records.drainFaults().forEach((fault, times) -> count(counterOf(fault), times));
    while (countedUnexpectedResponses < resolver.unexpectedResponses()) {
      context.emit(new Event.ConditionCounted(Counter.DNS_STRAYS));
      countedUnexpectedResponses++;
    }
  }

  private static Counter counterOf(AnswerFault fault) {
    return switch (fault) {
      case INVALID_INSTANCE, UNRESOLVED_ALIAS -> Counter.ENDPOINT_ENTRIES_INVALID;
      case INSTANCE_LIMIT -> Counter.CLAIMS_REJECTED;
      case NOT_AUTHORITATIVE -> Counter.DNS_NOT_AUTHORITATIVE;
      case TRUNCATED -> Counter.DNS_TRUNCATED;
    };
  }

  private void pollSerial(long nowUs) {
    boolean isSessionUp = pushClient != null && pushClient.isEstablished();
    if (serialPoller.startPoll(nowUs, isSessionUp)) {
      resolver
          .query(new Question(settings.zone(), Type.SOA), nowUs + QUERY_TIMEOUT_US)
          .onComplete(this::onSerialResult);
    }
  }

  /** Unless the serial shows that nothing has changed, a push session has to show that it lives. */
  private void onSerialResult(AsyncResult<Message> result) {
    if (stopped) {
      return;
    }
    long nowUs = context.nowUs();
    Message response = result.succeeded() ? result.result() : null;
    switch (serialPoller.onResponse(nowUs, response)) {
      case CHANGED, FIRST -> {
        records.refreshAll(nowUs);
        probePushSession();
      }
      case NO_SERIAL -> followWithoutSerial(nowUs);
      case FAILED -> onSerialMissing(nowUs);
      case UNCHANGED -> {}
    }
    advance();
  }

  private void followWithoutSerial(long nowUs) {
    if (!loggedMissingSerial) {
      loggedMissingSerial = true;
      context.logLine(settings.source() + ": no serial for the zone " + settings.zone());
    }
    onSerialMissing(nowUs);
  }

  /** Compares the records without the serial, unless the server answers no other query either. */
  private void onSerialMissing(long nowUs) {
    if (pushClient != null && consecutiveFailures == 0) {
      records.refreshAllGradually(nowUs);
    }
    probePushSession();
  }

  private void probePushSession() {
    if (pushClient != null) {
      pushClient.probe(context.nowUs());
    }
  }

  private long nextUs() {
    long pushUs = pushClient == null ? TimingWheel.NEVER : pushClient.nextUs();
    return Math.min(records.nextUs(), Math.min(serialPoller.nextUs(), pushUs));
  }

  private void scheduleTimer(long dueUs) {
    if (timerId != NO_TIMER && dueUs == timerDueUs) {
      return;
    }
    if (timerId != NO_TIMER) {
      vertx.cancelTimer(timerId);
      timerId = NO_TIMER;
    }
    timerDueUs = dueUs;
    if (dueUs != TimingWheel.NEVER) {
      timerId = vertx.setTimer(MicroClock.timerMs(context.nowUs(), dueUs), id -> onTimer());
    }
  }

  private void onTimer() {
    timerId = NO_TIMER;
    advance();
  }
}
