package dunlinhitch.server;

import dunlinhitch.admin.AdminServer;
import dunlinhitch.admin.DisabledEndpointFolder;
import dunlinhitch.backend.BackendTransport;
import dunlinhitch.backend.Backends;
import dunlinhitch.backend.LoadReportParser;
import dunlinhitch.backend.flight.FlightStores;
import dunlinhitch.backend.frames.FrameTransport;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.ShardLayout;
import dunlinhitch.config.Config;
import dunlinhitch.config.Product;
import dunlinhitch.core.Counter;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.core.Reducer;
import dunlinhitch.discovery.DiscoverySource;
import dunlinhitch.discovery.DiscoveryWatch;
import dunlinhitch.discovery.EndpointListReader;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointRegistrySettings;
import dunlinhitch.frontend.Exchanges;
import dunlinhitch.frontend.Frontend;
import dunlinhitch.frontend.QueryReader;
import dunlinhitch.frontend.flight.FlightFrontend;
import dunlinhitch.frontend.http.ClientListener;
import dunlinhitch.frontend.http.HttpFrontend;
import dunlinhitch.twophase.TwoPhaseSettings;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * One real broker: the fronts, the reducer, the ways to the stores and the watch, on one event
 * loop.
 */
public final class Broker {
  /**
   * PROTOCOL: after being asked to end, the process is left alone for this and the longest deadline
   * (for 3 s where that is longer), and connections that stay open stay in use.
   */
  private static final long GRACE_US = 700_000;

  private static final long LONGEST_US = 3_000_000;

  /** The last answer is written so long before that. */
  private static final long ROOM_US = 250_000;

  /** The end of the fronts takes so long at the most, and is over so long before that. */
  private static final long CLOSE_US = 1_000_000;

  private static final long CLOSE_ROOM_US = 100_000;

  /** The same where nobody can be crossing it. */
  private static final long CLOSE_AT_ONCE_US = 300_000;

  /** What crosses the closing of its connection comes so soon, if the listener is still there. */
  private static final long CROSSING_US = 150_000;

  /** A list from before the start will do if discovery says nothing for so long. */
  private static final long KNOWN_WILL_DO_US = 1_000_000;

  private static final String ENDS = "it was asked to end before it listened";

  /** Where the ids of stores that are out by hand are kept, in the shared folder. */
  private static final String BANS = "stores-out";

  /** Of the descriptors: accepted and not closed, when the loop is behind with what it lets in. */
  private static final int MOST_OPEN_TWELFTHS = 7;

  /** Connections to stores. */
  private static final int STORES_PART = 4;

  /**
   * What the program has open itself, with its calls to discovery: no share of few descriptors may
   * take that.
   */
  private static final int OWN_SOCKETS = 24;

  /** Of what is accepted so much is to be closed by the loop, or lingers. */
  private static final int LET_IN_TO_CLOSE_PART = 7;

  /**
   * Where two processes may be one broker their descriptors are counted together, and an old one is
   * not told that a new one has started until it is asked to end: so each keeps to this from the
   * start.
   */
  private static final int SHARED_STORES_PART = 8;

  private static final int SHARED_OPEN_TWELFTHS = 4;

  /** From its first second on a new process has the old one beside it for so long. */
  private static final long OVERLAP_US = 6_000_000;

  private final Vertx vertx;
  private final Config config;
  private final boolean shared;
  private final Consumer<String> log;
  private final MicroClock clock = new MicroClock();
  private final long startUs = clock.getAsLong();
  private final Promise<Void> ended = Promise.promise();
  private final Reducer reducer;
  private final ReducerLoop loop;
  private final Exchanges exchanges;
  private final HttpFrontend http;
  private final AdminServer admin;
  private final DisabledEndpointFolder bans;
  private final Backends stores;
  private final List<DiscoverySource> sources;
  private final DnsSources records;
  private final ClusterLink peers;
  private final Frontend flight;
  private FlightStores flightStores;

  /**
   * Stores are known from before the start: a list of none lets nobody in while discovery may name
   * some.
   */
  private final boolean known;

  private int port;
  private int flightPort;
  private boolean warm;

  /** Clients may have been let in. */
  private boolean opened;

  private boolean ending;

  /** When the process has to be over; 0: nobody said. */
  private long overUs;

  private Supplier<Config> reread;

  /** What is read of the configuration, or was read last. */
  private Future<Config> reading = Future.succeededFuture();

  private long writtenMs;

  /** Must be made on the event loop that is to run it. */
  public Broker(Vertx vertx, Context context, Config config, Consumer<String> log) {
    this(vertx, context, config, log, null);
  }

  /** The same; clients are accepted from {@code listener}. */
  public Broker(
      Vertx vertx, Context context, Config config, Consumer<String> log, ClientListener listener) {
    this.vertx = vertx;
    this.config = config;
    writtenMs = config.writtenMs();
    shared = listener != null && listener.isShared();
    this.log = log;
    if (config.talk() != null && config.talk().trouble() != null) {
      log.accept(config.talk().trouble());
    }
    // no class of the fleet is loaded unless the product's own file has a [fleet]
    peers = config.product().fleet() == null ? null : new ClusterLink(vertx, config, clock);
    reducer =
        new Reducer(
            config.settings(),
            membership(config),
            phases(config),
            peers == null ? null : peers.place(),
            config.seed(),
            startUs);
    loop =
        new ReducerLoop(
            vertx, context, reducer, clock, () -> reducer.settings().tickUs(), this::fault);
    exchanges = new Exchanges(loop);
    QueryReader queries = new QueryReader(reducer::settings);
    int mostOpen = mostOpen(config.sockets());
    http =
        new HttpFrontend(
            vertx,
            exchanges,
            queries,
            loop,
            clock,
            () -> mostOpen - mostOpen / LET_IN_TO_CLOSE_PART,
            this::ready,
            () -> reducer.counters().lines(),
            listener,
            mostOpen);
    admin =
        config.admin() == null
            ? null
            : new AdminServer(vertx, this::ready, reducer::figures, loop, clock);
    bans =
        new DisabledEndpointFolder(
            vertx,
            config.scratch() == null ? null : config.scratch().resolve(BANS),
            (out, back) -> loop.accept(new Event.DisabledEndpointsChanged(out, back)));
    LoadReportParser reports = new LoadReportParser(() -> reducer.settings().reportFields());
    FrameTransport.Shared frames =
        new FrameTransport.Shared(
            vertx,
            () -> reducer.settings().limits(),
            () -> config.sockets() / (shared ? SHARED_STORES_PART : STORES_PART),
            reports,
            clock,
            loop);
    // no class of Arrow is loaded unless this front is on or a store speaks Flight
    flight =
        config.product().flight() == null
            ? null
            : new FlightFrontend(vertx, context, exchanges, queries, loop, clock);
    stores = new Backends(entry -> open(context, frames, reports, entry), loop);
    EndpointListReader reader = new EndpointListReader(config.settings().zones(), loop);
    Event.EndpointsUpdated before =
        config.known().get("instances") == null ? null : reader.read(config.known(), true);
    known = before != null && !before.stores().isEmpty();
    if (before != null) {
      loop.accept(before);
    }
    List<DiscoverySource> all = new ArrayList<>();
    if (config.product().discovery()) {
      all.add(
          new DiscoveryWatch(
              vertx,
              reducer::settings,
              config.seed(),
              config.known().getLong("generation", 0),
              reader,
              loop,
              clock));
    }
    // no class of DNS is loaded unless the product's own file names a service
    records =
        config.product() == Product.NONE
            ? null
            : new DnsSources(vertx, config, reader, loop, clock, log, reducer::membership);
    if (records != null) {
      all.addAll(records.sources());
    }
    sources = List.copyOf(all);
    loop.edges(this::carryOut);
    loop.accept(
        new Event.DiscoveryConfigured(config.discovery().host(), config.discovery().port()));
  }

  /**
   * Descriptors that clients may take, whatever they do: what stores and the program itself need is
   * left.
   */
  private int mostOpen(int sockets) {
    int own = shared ? sockets / 2 : sockets;
    return Math.min(
        sockets * (shared ? SHARED_OPEN_TWELFTHS : MOST_OPEN_TWELFTHS) / 12,
        Math.max(
            own / 4, own - sockets / (shared ? SHARED_STORES_PART : STORES_PART) - OWN_SOCKETS));
  }

  private BackendTransport open(
      Context context, FrameTransport.Shared frames, LoadReportParser reports, Endpoint entry) {
    if (entry.wire() == Endpoint.Protocol.FRAMES) {
      return new FrameTransport(frames, entry);
    }
    if (flightStores == null) {
      flightStores =
          new FlightStores(vertx, context, () -> reducer.settings().limits(), reports, clock, loop);
    }
    return flightStores.open(entry);
  }

  private static EndpointRegistrySettings membership(Config config) {
    Product.MembershipTimes times = config.product().membership();
    ShardLayout layout = config.settings().layout();
    return times == null
        ? null
        : EndpointRegistrySettings.of(layout.cells(), layout.inARow())
            .withTimes(
                times.lingerUs(),
                times.staleForUs(),
                times.holdUs(),
                times.holdMostUs(),
                times.calmUs());
  }

  /** Only of classes that are safe to repeat: a first pass is asked beside the full one. */
  private static List<TwoPhaseSettings> phases(Config config) {
    List<TwoPhaseSettings> all = new ArrayList<>();
    for (Product.Phase p : config.product().phases()) {
      QueryClass kind =
          config.settings().classes().stream()
              .filter(c -> c.name().equals(p.queryClass()))
              .findFirst()
              .orElseThrow(
                  () ->
                      new Config.ConfigException(
                          "[phases "
                              + p.queryClass()
                              + "]: the settings have no such class; there is "
                              + config.settings().classes().stream()
                                  .map(QueryClass::name)
                                  .toList()));
      if (kind.repeat() != Idempotency.FREE) {
        throw new Config.ConfigException(
            "[phases "
                + p.queryClass()
                + "]: the class is not safe to repeat, and only such go in two phases");
      }
      if (kind.followUp() > 0) {
        throw new Config.ConfigException(
            "[phases "
                + p.queryClass()
                + "]: the class has a second step, which ranks full answers, and so can not go in two phases");
      }
      all.add(
          new TwoPhaseSettings(
              p.queryClass(), p.share(), p.least(), p.trial(), p.audit(), p.margin(), p.closeUs()));
    }
    return all;
  }

  /**
   * Listens for operators, where they have an address, before clients are let in; the result is its
   * port, or 0.
   */
  public Future<Integer> openDesk() {
    return admin == null
        ? Future.succeededFuture(0)
        : admin.listen(config.admin().host(), config.admin().port());
  }

  /**
   * Listens and follows discovery; the result is the port of the HTTP front. Fails where it was
   * asked to end before it listens.
   */
  public Future<Integer> start() {
    if (ending) {
      return Future.failedFuture(ENDS);
    }
    vertx.exceptionHandler(this::fault);
    sources.forEach(DiscoverySource::start);
    if (records != null) {
      records.start();
    }
    return bans.start(shared)
        .recover(
            e -> { // better to serve without it: calls that could not be kept are told so
              log.accept("stores out by hand can not be kept: " + e);
              return Future.succeededFuture(false);
            })
        .compose(
            before -> {
              if (ending) {
                return Future.<Integer>failedFuture(ENDS);
              }
              opened = true;
              if (shared
                  && before) { // the process that was here is asked to end only after this one is
                // ready
                loop.accept(new Event.OverlapStarted(clock.getAsLong() + OVERLAP_US));
              }
              return http.listen(config.listen().host(), config.listen().port());
            })
        .onSuccess(bound -> port = bound)
        .compose(
            v ->
                flight == null
                    ? Future.succeededFuture()
                    : flight
                        .listen(config.product().flight().host(), config.product().flight().port())
                        .onSuccess(
                            bound -> {
                              flightPort = bound;
                              log.accept(
                                  config.name() + " listens for Arrow Flight on port " + bound);
                            })
                        .mapEmpty())
        .compose(
            v ->
                peers == null
                    ? Future.succeededFuture()
                    : peers
                        .listen(loop)
                        .onSuccess(
                            bound ->
                                log.accept(config.name() + " hears other brokers on port " + bound))
                        .mapEmpty())
        .map(
            v -> {
              warm = true;
              if (records != null) {
                records.ready();
              }
              return port;
            });
  }

  /** A fault at an edge must not go unseen; what it left open is ended when its time is over. */
  private void fault(Throwable e) {
    StackTraceElement[] trace = e.getStackTrace();
    log.accept("fault: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
    vertx.runOnContext(v -> loop.accept(new Event.ConditionCounted(Counter.FAULTS)));
  }

  private boolean ready() {
    boolean told =
        sources.stream().anyMatch(DiscoverySource::answered)
            || ((known || (records != null && records.restored()))
                && clock.getAsLong() - startUs > KNOWN_WILL_DO_US);
    return warm && told && !ending && !reducer.fenced();
  }

  /**
   * Ends the broker. Until half of the longest deadline before its time it serves all who are
   * connected as ever: the others may be restarting too, and the next process is started no sooner
   * if this one leaves early. Then each answer closes its connection (where a sibling accepts from
   * the same socket, from the start), and it is over when all that was taken is answered. Before it
   * listens there is nobody to wait for, and whoever starts the next process waits for this one.
   */
  public Future<Void> stop() {
    ending = true;
    if (records != null) {
      records.ending();
    }
    if (!opened) {
      return close();
    }
    long now = clock.getAsLong();
    long longestUs =
        Math.min(
            LONGEST_US,
            reducer.settings().classes().stream()
                .mapToLong(kind -> kind.deadlineUs())
                .max()
                .orElseThrow());
    loop.accept(new Event.DrainStarted(now + GRACE_US + longestUs - ROOM_US));
    overUs = now + GRACE_US + longestUs - CLOSE_ROOM_US;
    vertx.setTimer(MicroClock.timerMs(now, overUs), t -> ended.tryComplete()); // whoever holds what
    if (shared) {
      loop.accept(new Event.OverlapStarted(Long.MAX_VALUE));
      http.leaveToSibling();
    }
    long drainUs = now + GRACE_US + longestUs / 2;
    vertx.setTimer(MicroClock.timerMs(now, drainUs), t -> http.drain());
    vertx.setTimer(
        MicroClock.timerMs(now, drainUs + CROSSING_US),
        t -> loop.accept(new Event.ShutdownRequested()));
    return ended.future();
  }

  /** Ends it at once, where nobody can be crossing that. */
  public Future<Void> close() {
    loop.accept(new Event.ShutdownRequested());
    return ended.future();
  }

  /**
   * The configuration is read again, off the loop: its settings and discovery's address hold from
   * then on.
   */
  public void reload(Supplier<Config> again) {
    read(again)
        .onComplete(
            read -> {
              if (read.succeeded()) {
                taken(read.result());
              } else {
                log.accept("the configuration stays as it was: " + read.cause().getMessage());
                loop.accept(new Event.ConditionCounted(Counter.BAD_CONFIGURATIONS));
              }
            });
  }

  /**
   * Begins when what was read before is taken: a read that is over at once would else be taken
   * before one whose end the loop is still to be told.
   */
  private Future<Config> read(Supplier<Config> again) {
    reading = reading.transform(before -> vertx.executeBlocking(again::get));
    return reading;
  }

  private void taken(Config read) {
    writtenMs = read.writtenMs();
    loop.accept(new Event.ConfigurationFileChanged(writtenMs));
    loop.accept(
        new Event.ConfigurationReloaded(
            read.settings(), read.discovery().host(), read.discovery().port()));
    log.accept(
        "the configuration was taken: classes "
            + read.settings().classes().stream().map(kind -> kind.name()).toList());
  }

  /** How the configuration is read again where this broker finds that it is behind the others. */
  public void rereadBy(Supplier<Config> again) {
    reread = again;
  }

  /**
   * A file that is still the one that was taken changes nothing, and is not worth a line. It is
   * taken in the order of the reads.
   */
  void readAgain() {
    if (reread != null) {
      read(reread)
          .onSuccess(
              read -> {
                if (read.writtenMs() != writtenMs) {
                  taken(read);
                }
              });
    }
  }

  /** The port of the Flight front once it listens, else 0. */
  public int flightPort() {
    return flightPort;
  }

  public String counters() {
    return reducer.counters().lines();
  }

  private void carryOut(Effect effect) {
    if (effect instanceof Effect.SendRequest e) {
      stores.call(e);
    } else if (effect instanceof Effect.SendResponse e) {
      exchanges.reply(e.exchange(), e.answer());
    } else if (effect instanceof Effect.CancelAttempt e) {
      stores.giveUp(e);
    } else if (effect instanceof Effect.WithdrawAttempt e) {
      stores.withdraw(e);
    } else if (effect instanceof Effect.SendHealthCheck e) {
      stores.probe(e);
    } else if (effect instanceof Effect.CloseIdleConnections e) {
      stores.release(e.store());
    } else if (effect instanceof Effect.EndpointChanged e) {
      stores.changed(e.store(), e.entry(), e.barred());
    } else if (effect instanceof Effect.PersistDisabledEndpoint e) {
      bans.keep(e.store(), e.out())
          .onSuccess(v -> admin.reply(e.call(), 200, e.out() ? "out" : "may serve"))
          .onFailure(
              why -> admin.reply(e.call(), 500, "it could not be kept: " + why.getMessage()));
    } else if (effect instanceof Effect.RejectUnknownEndpoint e) {
      admin.reply(e.call(), 404, "no such calendar store");
    } else if (effect instanceof Effect.RefreshEndpoints) {
      sources.forEach(DiscoverySource::resync);
    } else if (effect instanceof Effect.ChangeDiscoveryAddress e) {
      sources.forEach(source -> source.follow(e.host(), e.port()));
    } else if (effect instanceof Effect.ReloadConfiguration) {
      readAgain();
    } else if (effect instanceof Effect.SendGossip e) {
      peers.tell(e);
    } else if (effect instanceof Effect.LogMessage e) {
      log.accept(e.text());
    } else if (effect instanceof Effect.ShutdownCompleted) {
      sources.forEach(DiscoverySource::stop);
      long now = clock.getAsLong();
      long dueUs = overUs == 0 ? now + CLOSE_AT_ONCE_US : Math.min(overUs, now + CLOSE_US);
      Future.join(
              records == null ? Future.<Void>succeededFuture() : records.close(),
              http.close(dueUs),
              flight == null ? Future.succeededFuture() : flight.close(dueUs),
              admin == null ? Future.succeededFuture() : admin.close(),
              peers == null ? Future.succeededFuture() : peers.close())
          .onComplete(
              done -> {
                stores.close();
                if (flightStores != null) {
                  flightStores.close();
                }
                ended.tryComplete();
              });
    }
  }
}
