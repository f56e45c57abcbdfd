package dunlinhitch.discovery.dnssd;

import dunlinhitch.core.Counter;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.discovery.DiscoverySource;
import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.TimingWheel;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.ClientSSLOptions;
import io.vertx.core.net.ConnectOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.PemTrustOptions;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.SOARecord;
import org.xbill.DNS.Type;

/**
 * One DNS server and one service as a source of stores: {@link Records} says what to ask and what
 * follows, {@link Resolver} asks, and where the server offers it a push session ({@link
 * PushDialogue}) brings changes as they happen. On the event loop.
 */
public final class DnsDiscoverySource implements DiscoverySource {
  /** A question has its answer by then, over TCP too, or has failed. */
  private static final long ANSWER_US = 1_000_000;

  /** So many failures without an answer between them, and the source counts as silent. */
  private static final int SILENT_AFTER = 3;

  /**
   * A push server; {@code trust} null: the system's trust store; {@code serverName} null: as the
   * host.
   */
  public record Push(String host, int port, Path trust, String serverName) {}

  /** {@code soaEveryUs} 0: the zone's serial is not asked for; {@code push} null: there is none. */
  public record Settings(
      String source,
      int rank,
      String host,
      int port,
      Name service,
      List<Name> browsed,
      Name zone,
      long soaEveryUs,
      Push push,
      Records.Bounds bounds) {}

  private final Vertx vertx;
  private final Settings settings;
  private final Consumer<Event> events;
  private final Consumer<String> log;
  private final LongSupplier clock;
  private final Records records;
  private final Resolver resolver;
  private final PushSession dialogue;
  private final NetClient tls;
  private NetSocket socket;
  private long connections;
  private long wantedVersion = -1;
  private boolean moreWanted;
  private long serial = -1;
  private long soaDueUs;
  private boolean soaAsked;
  private int failures;
  private long strays;
  private long timer = -1;
  private long timerDueUs = TimingWheel.NEVER;
  private boolean answered;
  private boolean stopped;

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
    this.events = events;
    this.log = log;
    this.clock = clock;
    RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
    random = seed == 0 ? random : new java.util.SplittableRandom(seed);
    records =
        new Records(
            settings.browsed(),
            new TxtReader(reader),
            settings.bounds(),
            random,
            clock.getAsLong());
    SecureRandom ids = new SecureRandom();
    resolver = new Resolver(vertx, settings.host(), settings.port(), clock, ids::nextInt);
    dialogue = settings.push() == null ? null : new PushSession(random, clock.getAsLong());
    tls =
        dialogue == null ? null : vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
    soaDueUs = settings.soaEveryUs() <= 0 ? TimingWheel.NEVER : clock.getAsLong();
  }

  public String name() {
    return settings.source();
  }

  /** Keys of claims that an earlier process left; before the start. */
  public void restored(Collection<String> keys) {
    records.restored(keys);
  }

  @Override
  public void start() {
    events.accept(new Event.SourceRegistered(settings.source(), settings.rank()));
    pump();
  }

  @Override
  public void follow(String host, int port) {
    // discovery's address is none of its business
  }

  @Override
  public void stop() {
    stopped = true;
    if (timer >= 0) {
      vertx.cancelTimer(timer);
    }
    resolver.close();
    if (tls != null) {
      tls.close();
    }
  }

  @Override
  public void resync() {
    records.reask(clock.getAsLong(), true);
    pump();
  }

  @Override
  public boolean answered() {
    return answered;
  }

  /** For those who look. */
  public List<Records.Shown> shown() {
    return records.shown();
  }

  public boolean pushes() {
    return dialogue != null && dialogue.isUp();
  }

  /** Bytes of answers so far. */
  public long bytesIn() {
    return resolver.bytesIn();
  }

  /** Does all that is due, tells what has changed and sets the timer for what is due next. */
  private void pump() {
    if (stopped) {
      return;
    }
    long now = clock.getAsLong();
    askSerial(now);
    for (Question question : records.due(now)) {
      resolver
          .ask(question, now + ANSWER_US)
          .onComplete(
              done -> {
                if (stopped) {
                  return;
                }
                if (done.succeeded() && usable(done.result())) {
                  failures = 0;
                  answered = true;
                  records.answered(clock.getAsLong(), question, done.result());
                } else {
                  failed();
                  records.failed(clock.getAsLong(), question);
                }
                pump();
              });
    }
    if (dialogue != null) {
      carryOut(dialogue.passed(now));
      if (wantedVersion != records.version() || moreWanted) {
        wantedVersion = records.version();
        List<PushSession.Action> actions = dialogue.wanted(now, records.wanted());
        moreWanted = !actions.isEmpty() || !dialogue.isUp();
        carryOut(actions);
      }
    }
    tell(now);
    wake(
        Math.min(
            records.nextUs(),
            Math.min(
                soaAsked ? TimingWheel.NEVER : soaDueUs,
                dialogue == null ? TimingWheel.NEVER : dialogue.nextUs())));
  }

  private static boolean usable(Message answer) {
    return answer.getRcode() == Rcode.NOERROR || answer.getRcode() == Rcode.NXDOMAIN;
  }

  private void failed() {
    if (++failures == SILENT_AFTER) {
      events.accept(new Event.SourceUnavailable(settings.source()));
      log.accept(settings.source() + " does not answer; its records stand");
    }
  }

  private void tell(long now) {
    Records.News news = records.news(now);
    if (news.whole() || !news.claims().isEmpty()) {
      events.accept(new Event.SourceUpdated(settings.source(), news.whole(), news.claims()));
    }
    Map<Records.Oddity, Integer> odd = records.oddities();
    odd.forEach(
        (what, times) -> {
          for (int i = 0; i < times; i++) {
            events.accept(
                new Event.ConditionCounted(
                    switch (what) {
                      case BAD_ENTRY, NO_ALIAS -> Counter.BAD_ROSTER_ENTRIES;
                      case TOO_MANY -> Counter.MEMBERS_REFUSED;
                      case NOT_AUTHORITATIVE -> Counter.DNS_NOT_AUTHORITATIVE;
                    }));
          }
        });
    for (; strays < resolver.strays(); strays++) {
      events.accept(new Event.ConditionCounted(Counter.DNS_STRAYS));
    }
  }

  /**
   * A zone's serial rises with every change (RFC 1982 order does not matter here: other is other).
   */
  private void askSerial(long now) {
    if (soaAsked || now < soaDueUs || (dialogue != null && dialogue.isUp())) {
      if (!soaAsked && now >= soaDueUs) {
        soaDueUs = now + settings.soaEveryUs();
      }
      return;
    }
    soaAsked = true;
    soaDueUs = now + settings.soaEveryUs();
    resolver
        .ask(new Question(settings.zone(), Type.SOA), now + ANSWER_US)
        .onComplete(
            done -> {
              soaAsked = false;
              long seen = serial;
              if (done.succeeded()) {
                for (Record record : done.result().getSection(org.xbill.DNS.Section.ANSWER)) {
                  serial = record instanceof SOARecord soa ? soa.getSerial() : serial;
                }
              }
              if (serial != seen) { // the first one too: what changed before it was seen would go
                // unnoticed
                records.reask(clock.getAsLong(), seen >= 0);
              }
              pump();
            });
  }

  // ---- push

  private void carryOut(List<PushSession.Action> actions) {
    for (PushSession.Action action : actions) {
      if (action instanceof PushSession.Connect a) {
        connect(a.dueUs());
      } else if (action instanceof PushSession.Send a) {
        if (socket != null) {
          socket.write(a.bytes());
        }
      } else if (action instanceof PushSession.Close a) {
        log.accept(settings.source() + ": push session ended: " + a.why());
        events.accept(new Event.ConditionCounted(Counter.PUSH_ENDED));
        leave();
      } else if (action instanceof PushSession.Followed a) {
        records.followed(clock.getAsLong(), a.key(), a.follows());
      } else if (action instanceof PushSession.Pushed a) {
        long now = clock.getAsLong();
        a.changes().forEach(change -> take(now, change));
      }
    }
  }

  private void take(long now, Dso.PushChange change) {
    if (!change.removed()) {
      records.added(now, change.record());
    } else if (change.key().type() == Type.ANY) {
      records.wanted().stream()
          .filter(key -> key.name().equals(change.key().name()))
          .toList()
          .forEach(key -> records.removed(now, key, null));
    } else {
      records.removed(now, change.key(), change.record());
    }
  }

  private void connect(long dueUs) {
    long mine = ++connections;
    Push push = settings.push();
    ClientSSLOptions ssl = new ClientSSLOptions().setHostnameVerificationAlgorithm("HTTPS");
    if (push.trust() != null) {
      ssl.setTrustOptions(new PemTrustOptions().addCertPath(push.trust().toString()));
    }
    ConnectOptions to =
        new ConnectOptions()
            .setHost(push.host())
            .setPort(push.port())
            .setSsl(true)
            .setSslOptions(ssl)
            .setTimeout((int) MicroClock.timerMs(clock.getAsLong(), dueUs));
    if (push.serverName() != null) {
      to.setSniServerName(push.serverName());
    }
    tls.connect(to)
        .onComplete(
            made -> {
              if (stopped || mine != connections) {
                if (made.succeeded()) {
                  made.result().close();
                }
                return;
              }
              if (made.failed()) {
                log.accept(settings.source() + ": no push session: " + made.cause().getMessage());
                carryOut(dialogue.lost(clock.getAsLong()));
                pump();
                return;
              }
              socket = made.result();
              Buffer[] rest = {Buffer.buffer()};
              socket.handler(
                  bytes -> {
                    if (mine == connections) {
                      rest[0] = messages(mine, rest[0].appendBuffer(bytes));
                      pump();
                    }
                  });
              socket.exceptionHandler(e -> {});
              socket.closeHandler(
                  v -> {
                    if (mine == connections && !stopped) {
                      events.accept(new Event.ConditionCounted(Counter.PUSH_ENDED));
                      leave();
                      carryOut(dialogue.lost(clock.getAsLong()));
                      moreWanted = true;
                      pump();
                    }
                  });
              carryOut(dialogue.connected(clock.getAsLong()));
              moreWanted = true;
              pump();
            });
  }

  /** Takes the whole messages off, and returns the rest; a length bounds what may be held. */
  private Buffer messages(long mine, Buffer bytes) {
    int at = 0;
    while (mine == connections
        && bytes.length() - at >= 2
        && bytes.length() - at >= 2 + bytes.getUnsignedShort(at)) {
      int end = at + 2 + bytes.getUnsignedShort(at);
      carryOut(dialogue.received(clock.getAsLong(), bytes.getBytes(at + 2, end)));
      moreWanted = true;
      at = end;
    }
    return bytes.getBuffer(at, bytes.length());
  }

  private void leave() {
    connections++;
    if (socket != null) {
      socket.close();
      socket = null;
    }
  }

  private void wake(long dueUs) {
    if (timer >= 0 && dueUs == timerDueUs) {
      return;
    }
    if (timer >= 0) {
      vertx.cancelTimer(timer);
      timer = -1;
    }
    timerDueUs = dueUs;
    if (dueUs != TimingWheel.NEVER) {
      timer =
          vertx.setTimer(
              MicroClock.timerMs(clock.getAsLong(), dueUs),
              t -> {
                timer = -1;
                pump();
              });
    }
  }
}
