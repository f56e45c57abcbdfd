package dunlinhitch.experiments.simulation;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.balancer.settings.Prices;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Rules;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.balancer.settings.ShardLayout;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.QueryRequest;
import dunlinhitch.core.QueryResponse;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.Endpoint.Protocol;
import dunlinhitch.endpoints.EndpointClaim;
import dunlinhitch.endpoints.TimingWheel;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Simulates a day: production brokers from the reducer inward, and models of the stores, the
 * network, discovery and the clients. docs/simulation.md describes the models and their limits. One
 * thread; the same seed, schedule and build give the same trace byte for byte.
 */
public final class Simulation {
  static final int CELL_COUNT = 6;
  static final int SHARD_COUNT = 24;
  private static final int REPLICA_SETS = 3;
  private static final int BROKER_COUNT = 3;
  private static final long START_US = 1_700_000_000_000_000L;
  private static final long SAME_ZONE_LATENCY_US = 100;
  private static final long DRAIN_PERIOD_US = 8_000_000;
  private static final String DNS_SOURCE = "dns_sd day";

  /** A day to simulate; {@code queriesPerSecond} is the rate over all brokers. */
  public record SimulatedDay(
      long seed, int seconds, double queriesPerSecond, List<Fault> faults, Defect defect) {
    public SimulatedDay {
      faults = List.copyOf(faults);
    }

    SimulatedDay withChanges(List<Fault> others) {
      return new SimulatedDay(seed, seconds, queriesPerSecond, others, defect);
    }

    SimulatedDay withChanges(int otherSeconds, double rate) {
      return new SimulatedDay(seed, otherSeconds, rate, faults, defect);
    }
  }

  /** The outcome of a day; {@code trace} is empty unless requested. */
  public record SimulationResult(
      SimulatedDay day,
      InvariantChecker.Violation breach,
      double servedWeight,
      double offeredWeight,
      long steps,
      String digest,
      List<String> trace) {
    public double share() {
      return offeredWeight == 0 ? 1 : servedWeight / offeredWeight;
    }
  }

  /** A store as one broker reaches it. */
  private record Route(SimulatedStore store, int port) {}

  /** An attempt in flight. */
  private static final class OutstandingAttempt {
    private final SimulatedBroker broker;
    private final SimulatedStore store;
    private final Effect.AttemptRequest request;
    private boolean ended;

    OutstandingAttempt(SimulatedBroker broker, SimulatedStore store, Effect.AttemptRequest part) {
      this.broker = broker;
      this.store = store;
      this.request = part;
    }
  }

  private record ClientQuery(
      QueryRequest request, int retries, long startedUs, boolean honorsRetryAfter) {}

  private final SimulatedDay day;
  private final Scheduler time = new Scheduler(START_US);
  private final RandomStreams streams;
  private final InvariantChecker checker = new InvariantChecker(time);
  private final Settings settings = settings(true);
  private final List<SimulatedStore> stores = new ArrayList<>();
  private final SimulatedBroker[] slots = new SimulatedBroker[BROKER_COUNT];
  private final List<Map<Integer, Route>> routes = new ArrayList<>();
  private final List<Map<Long, OutstandingAttempt>> outstanding = new ArrayList<>();
  private final List<SimulatedBroker> allBrokers = new ArrayList<>();
  private final Map<String, ClientQuery> openQueries = new LinkedHashMap<>();
  private final Map<String, String> exchanges = new HashMap<>();
  private final UniformRandomProvider clients;
  private final UniformRandomProvider network;
  private final UniformRandomProvider work;
  private final UniformRandomProvider discovery;
  private final UniformRandomProvider defects;
  private final boolean usesDnsSource;
  private final boolean keepTrace;
  private final List<String> trace = new ArrayList<>();
  private final MessageDigest digest;
  private double trafficFactor = 1;
  private double globalSlowdown = 1;
  private long reportDelayUs;
  private double corruptShare;
  private final Map<String, Integer> cuts = new HashMap<>();
  private final Map<Integer, Long> lastNotificationUs = new HashMap<>();
  private boolean classDropped;
  private int lastPort = 7000;
  private int lastQuery;
  private long lastExchange;
  private int lastStore;
  private double servedWeight;
  private double offeredWeight;

  private Simulation(SimulatedDay day, boolean keepLines) {
    this.day = day;
    this.keepTrace = keepLines;
    streams = new RandomStreams(day.seed());
    clients = streams.stream("clients");
    network = streams.stream("network");
    work = streams.stream("work");
    discovery = streams.stream("discovery");
    defects = streams.stream("defects");
    usesDnsSource = day.seed() % 2 == 1;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Plays the day to its end, or to the first breach. */
  public static SimulationResult play(SimulatedDay day, boolean keepLines) {
    return new Simulation(day, keepLines).run();
  }

  static String value(String text, int shard) {
    return text + "/" + shard;
  }

  /** Settings as in the deployment, for three brokers. */
  static Settings settings(boolean bookings) {
    List<QueryClass> classes = new ArrayList<>();
    classes.add(
        new QueryClass(
            "free-search",
            1_200_000,
            0,
            3_000_000,
            Idempotency.FREE,
            0.1,
            5_000_000,
            3,
            false,
            0,
            0.7,
            1,
            0.9));
    if (bookings) {
      classes.add(
          new QueryClass(
              "slot-booking",
              1_500_000,
              0,
              4_000_000,
              Idempotency.GUARDED,
              0.3,
              4_000_000,
              2,
              false,
              0,
              1,
              1,
              0.9));
    }
    return new Settings(
        BROKER_COUNT,
        List.of("a", "b"),
        0,
        5_000,
        classes,
        List.of(),
        0.1,
        new ShardLayout(CELL_COUNT, 1, SHARD_COUNT, 8, 46_000),
        new Limits(4, 300, true, true, false, true, 500_000, 250_000, 32, 15_000_000),
        new Rules(
            20_000,
            10_000_000,
            -1,
            0,
            0,
            SimulatedStore.COLD_WEIGHT,
            SimulatedStore.SLOW_START_US,
            SimulatedStore.OVERLOAD_FACTOR,
            SimulatedStore.OVERLOAD_WINDOW_US,
            250_000),
        new Prices(0.01, 0.012, 0.11, 0.03),
        false,
        true,
        true,
        List.of(LoadReportField.RECENT_MS, LoadReportField.BACKLOG),
        false);
  }

  private SimulationResult run() {
    for (int i = 0; i < CELL_COUNT * REPLICA_SETS; i++) {
      add(i % CELL_COUNT, i / CELL_COUNT % 2, 0);
    }
    for (int slot = 0; slot < BROKER_COUNT; slot++) {
      begin(slot);
    }
    for (Fault fault : day.faults()) {
      if (fault.fromUs() >= 0) { // the others wait for their store to start
        time.scheduleAt(START_US + fault.fromUs(), () -> apply(fault));
      }
    }
    time.scheduleAfter(500_000, this::arrive);
    time.scheduleAfter(100_000, this::look);
    long endUs = START_US + day.seconds() * 1_000_000L;
    time.runUntil(endUs + DRAIN_PERIOD_US, () -> checker.violation() == null);
    if (checker.violation() == null) {
      int still = 0;
      for (SimulatedBroker broker : allBrokers) {
        still += broker.isCrashed() ? 0 : broker.reducer.openQueries();
      }
      checker.simulationEnded(still);
    }
    return new SimulationResult(
        day,
        checker.violation(),
        servedWeight,
        offeredWeight,
        time.steps(),
        HexFormat.of().formatHex(digest.digest()),
        trace);
  }

  private void line(String text) {
    checker.recordLine(text);
    digest.update((time.now() + " " + text + "\n").getBytes(StandardCharsets.UTF_8));
    if (keepTrace) {
      trace.add(time.now() - START_US + " " + text);
    }
  }

  private void look() {
    checker.checkOverdueQueries();
    if (time.now() < START_US + day.seconds() * 1_000_000L + DRAIN_PERIOD_US) {
      time.scheduleAfter(100_000, this::look);
    }
  }

  // ---- stores and what is told of them

  private SimulatedStore add(int cell, int room, long startedUs) {
    String name = "s" + lastStore++;
    SimulatedStore[] made = {null};
    made[0] =
        new SimulatedStore(
            name,
            cell,
            room,
            ++lastPort,
            time,
            streams.stream("store " + name),
            sentUs -> {
              line("store " + name + " fell over after " + sentUs + " us of work");
              checker.reportViolation("a cold store was pushed over", name);
            });
    made[0].startedUs = startedUs;
    stores.add(made[0]);
    return made[0];
  }

  private SimulatedStore store(String name) {
    return stores.stream()
        .filter(s -> s.name.equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no such store: " + name));
  }

  private Endpoint entry(SimulatedStore s, ServerState state) {
    long started = day.defect() == Defect.COLD_FLOOD ? 0 : s.startedUs;
    return new Endpoint(
        s.name, "10.0.0.1", s.port, s.zone, s.cell, state, 1, started, Protocol.FRAMES);
  }

  private void begin(int slot) {
    SimulatedBroker broker =
        new SimulatedBroker(
            allBrokers.size(),
            classDropped ? settings(false) : settings,
            day.seed() * 31 + allBrokers.size(),
            time,
            this::carryOut);
    allBrokers.add(broker);
    routes.add(new HashMap<>());
    outstanding.add(new LinkedHashMap<>());
    slots[slot] = broker;
    List<Endpoint> listed =
        stores.stream()
            .filter(s -> s.running && !s.draining)
            .map(s -> entry(s, ServerState.READY))
            .toList();
    if (usesDnsSource) {
      broker.accept(new Event.SourceRegistered(DNS_SOURCE, 1));
      broker.accept(
          new Event.SourceUpdated(DNS_SOURCE, true, listed.stream().map(this::claim).toList()));
    } else {
      broker.accept(new Event.EndpointsUpdated(ServerListKind.FULL, listed));
    }
  }

  private EndpointClaim claim(Endpoint entry) {
    return entry.state() == ServerState.GONE
        ? EndpointClaim.withdrawal(entry.name(), time.now())
        : new EndpointClaim(entry.name(), entry, time.now(), TimingWheel.NEVER);
  }

  /** Every broker is told after a delay of its own; {@code quick}: by a push of records. */
  private void tell(SimulatedStore s, ServerState state, boolean quick) {
    Endpoint entry = entry(s, state);
    for (SimulatedBroker broker : slots) {
      long delay =
          (long)
              (quick || usesDnsSource
                  ? RandomStreams.uniform(discovery, 1_000, 60_000)
                  : RandomStreams.uniform(discovery, 200_000, 3_000_000));
      boolean late = day.defect() == Defect.LATE_DRAIN && state != ServerState.READY;
      // one agent tells a broker, in the order of what happened
      long atUs = Math.max(time.now() + delay, lastNotificationUs.getOrDefault(broker.number, 0L));
      lastNotificationUs.put(broker.number, atUs);
      time.scheduleAt(
          atUs,
          () -> {
            if (broker.isCrashed()) {
              return;
            }
            line("broker " + broker.number + " is told " + s.name + " " + state);
            checker.endpointNotified(broker.number, s.name, state == ServerState.READY);
            Event event =
                usesDnsSource
                    ? new Event.SourceUpdated(DNS_SOURCE, false, List.of(claim(entry)))
                    : new Event.EndpointsUpdated(ServerListKind.DELTA, List.of(entry));
            time.scheduleAfter(late ? 2_000_000 : 0, () -> broker.accept(event));
          });
    }
  }

  private void crash(SimulatedStore s) {
    line("store " + s.name + " dies");
    s.stop();
    reset(s);
    tell(s, ServerState.GONE, false);
  }

  /** Attempts at a store fail with its connections. */
  private void reset(SimulatedStore s) {
    for (int i = 0; i < outstanding.size(); i++) {
      SimulatedBroker broker = allBrokers.get(i);
      for (OutstandingAttempt out : List.copyOf(outstanding.get(i).values())) {
        if (out.store == s && !isCut(broker, s)) {
          time.scheduleAfter(
              latency(broker, s), () -> end(out, AttemptOutcome.RESET, new float[0], ""));
        }
      }
    }
  }

  private void startCold(SimulatedStore s) {
    s.start();
    line("store " + s.name + " starts cold");
    tell(s, ServerState.READY, false);
    for (Fault fault : day.faults()) {
      if (fault.fromUs() < 0 && fault.coldStartOf().equals(s.name)) {
        apply(
            new Fault(
                time.now() - START_US,
                time.now() - START_US + 3_000_000,
                "",
                fault.kind(),
                fault.targets(),
                fault.factor()));
      }
    }
  }

  // ---- troubles

  private void apply(Fault f) {
    line("trouble " + f);
    long endUs = START_US + f.toUs();
    boolean ends = f.toUs() >= 0;
    switch (f.kind()) {
      case "crash" ->
          f.targets()
              .forEach(
                  name -> {
                    SimulatedStore s = store(name);
                    crash(s);
                    time.scheduleAt(ends ? endUs : time.now() + 8_000_000, () -> startCold(s));
                  });
      case "room" ->
          stores.stream()
              .filter(s -> s.zone == (f.targets().get(0).equals("a") ? 0 : 1))
              .toList()
              .forEach(
                  s -> {
                    crash(s);
                    time.scheduleAt(ends ? endUs : time.now() + 5_000_000, () -> startCold(s));
                  });
      case "drain" ->
          f.targets()
              .forEach(
                  name -> {
                    SimulatedStore s = store(name);
                    s.draining = true;
                    tell(s, ServerState.DRAINING, false);
                    time.scheduleAt(
                        ends ? endUs : time.now() + 8_000_000,
                        () -> {
                          s.stop();
                          reset(s);
                          startCold(s);
                        });
                  });
      case "move" ->
          f.targets()
              .forEach(
                  name -> {
                    SimulatedStore s = store(name);
                    s.stop();
                    reset(s);
                    s.port = ++lastPort;
                    startCold(s);
                  });
      case "replace" ->
          f.targets()
              .forEach(
                  name -> {
                    SimulatedStore s = store(name);
                    s.draining = true;
                    tell(s, ServerState.DRAINING, false);
                    time.scheduleAfter(4_000_000, () -> crash(s));
                    time.scheduleAfter(1_000_000, () -> startCold(add(s.cell, s.zone, time.now())));
                  });
      case "withdraw" ->
          f.targets()
              .forEach(
                  name -> {
                    SimulatedStore s = store(name);
                    tell(s, ServerState.GONE, true);
                    time.scheduleAt(
                        ends ? endUs : time.now() + 500_000,
                        () -> {
                          if (s.running) {
                            tell(s, ServerState.READY, true);
                          }
                        });
                  });
      case "slow" ->
          during(
              f, 1, by -> f.targets().forEach(name -> store(name).slowdown = globalSlowdown * by));
      case "slow-all" ->
          during(
              f,
              1,
              by -> {
                globalSlowdown = by;
                stores.forEach(s -> s.slowdown = by);
              });
      case "jump" -> during(f, 1, by -> trafficFactor = by);
      case "late" -> during(f, 0, by -> reportDelayUs = (long) by.doubleValue());
      case "garble" -> during(f, 0, by -> corruptShare = by);
      case "cut" -> {
        String link = f.targets().get(0) + " " + f.targets().get(1);
        cuts.merge(link, 1, Integer::sum);
        time.scheduleAt(
            ends ? endUs : time.now() + 2_000_000, () -> cuts.merge(link, -1, Integer::sum));
      }
      case "kill" -> {
        int slot = Integer.parseInt(f.targets().get(0).substring(1));
        SimulatedBroker broker = slots[slot];
        if (!broker.isCrashed()) {
          broker.crash();
          checker.brokerCrashed(broker.number);
          outstanding.get(broker.number).clear();
          time.scheduleAt(ends ? endUs : time.now() + 2_000_000, () -> begin(slot));
        }
      }
      case "settings" -> {
        classDropped = true;
        retune(settings(false));
        time.scheduleAt(
            ends ? endUs : time.now() + 5_000_000,
            () -> {
              classDropped = false;
              retune(settings);
            });
      }
      default -> throw new IllegalStateException(f.kind());
    }
  }

  private void during(Fault f, double normal, Consumer<Double> set) {
    set.accept(f.factor());
    time.scheduleAt(
        f.toUs() >= 0 ? START_US + f.toUs() : time.now() + 5_000_000, () -> set.accept(normal));
  }

  private void retune(Settings to) {
    for (SimulatedBroker broker : slots) {
      broker.accept(new Event.ConfigurationReloaded(to, "10.0.0.9", 8500));
    }
  }

  // ---- network

  private long latency(SimulatedBroker broker, SimulatedStore s) {
    long way =
        s.zone == broker.number % 2
            ? SAME_ZONE_LATENCY_US
            : (long) RandomStreams.uniform(network, 700, 1_300);
    return way + (long) RandomStreams.exponential(network, 60);
  }

  private boolean isCut(SimulatedBroker broker, SimulatedStore s) {
    for (int slot = 0; slot < BROKER_COUNT; slot++) {
      if (slots[slot] == broker && cuts.getOrDefault("b" + slot + " " + s.name, 0) > 0) {
        return true;
      }
    }
    return false;
  }

  // ---- what brokers do

  private boolean by(Defect defect, double share) {
    return day.defect() == defect && defects.nextDouble() < share;
  }

  private void carryOut(SimulatedBroker broker, Effect effect) {
    if (effect instanceof Effect.EndpointChanged e) {
      if (e.endpoint().state() == ServerState.GONE) {
        routes.get(broker.number).remove(e.number());
      } else {
        stores.stream()
            .filter(s -> s.name.equals(e.endpoint().name()))
            .findFirst()
            .ifPresent(
                s -> routes.get(broker.number).put(e.number(), new Route(s, e.endpoint().port())));
      }
    } else if (effect instanceof Effect.SendRequest e) {
      Route way = routes.get(broker.number).get(e.endpoint());
      e.parts().forEach(part -> send(broker, way, part));
      broker.accept(new Event.AttemptsWritten(e.parts().size()));
    } else if (effect instanceof Effect.CancelAttempt e) {
      OutstandingAttempt out = outstanding.get(broker.number).remove(e.attempt());
      if (out != null) {
        out.ended = true;
        checker.attemptEnded(broker.number, out.request.partId(), e.attempt(), false);
      }
    } else if (effect instanceof Effect.SendHealthCheck e) {
      Route way = routes.get(broker.number).get(e.endpoint());
      if (way != null && !isCut(broker, way.store())) {
        time.scheduleAfter(
            2 * latency(broker, way.store()) + 1_000,
            () ->
                broker.accept(
                    way.store().running
                        ? new Event.HealthCheckCompleted(
                            e.healthCheck(), AttemptOutcome.OK, way.store().report())
                        : new Event.HealthCheckCompleted(
                            e.healthCheck(), AttemptOutcome.CONNECT_FAILED, new float[0])));
      }
    } else if (effect instanceof Effect.SendResponse e) {
      reply(broker, e.exchange(), e.response());
    } else if (effect instanceof Effect.LogMessage e) {
      line("broker " + broker.number + ": " + e.text());
      if (e.text().startsWith("fault")) {
        checker.reportViolation("a fault in the decisions", "broker " + broker.number);
      }
    }
  }

  private void send(SimulatedBroker broker, Route way, Effect.AttemptRequest part) {
    if (way == null) {
      time.scheduleAfter(
          SAME_ZONE_LATENCY_US,
          () ->
              broker.accept(
                  Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.CONNECT_FAILED)));
      return;
    }
    SimulatedStore to = way.store();
    if (by(Defect.WRONG_SHARD, 0.005)) {
      to = stores.get((stores.indexOf(to) + 1) % stores.size());
    }
    if (day.defect() == Defect.TO_THE_DRAINED) {
      int cell = to.cell;
      to = stores.stream().filter(s -> s.cell == cell && s.draining).findFirst().orElse(to);
    }
    SimulatedStore store = to;
    OutstandingAttempt out = new OutstandingAttempt(broker, store, part);
    outstanding.get(broker.number).put(part.attempt(), out);
    String query = part.partId().substring(0, part.partId().indexOf('.'));
    ClientQuery of = openQueries.get(query);
    QueryRequest ask = of == null ? null : of.request();
    line(
        "broker "
            + broker.number
            + " sends "
            + part.partId()
            + " to "
            + store.name
            + " attempt "
            + part.attempt());
    checker.attemptSent(
        broker.number, store, ask, part.partId(), part.shard(), part.attempt(), CELL_COUNT);
    if (by(Defect.TWO_OUT, 0.002)) {
      checker.attemptSent(
          broker.number, store, ask, part.partId(), part.shard(), part.attempt(), CELL_COUNT);
    }
    if (ask != null
        && ask.queryClass().idempotency() == Idempotency.GUARDED
        && by(Defect.AFTER_THE_WINDOW, 0.02)) {
      time.scheduleAfter(
          4_500_000,
          () -> {
            checker.attemptEnded(broker.number, part.partId(), part.attempt(), false);
            checker.attemptSent(
                broker.number, store, ask, part.partId(), part.shard(), part.attempt(), CELL_COUNT);
          });
    }
    if (isCut(broker, store)) {
      return; // nothing comes back; the broker gives it up
    }
    boolean booking = ask != null && ask.queryClass().idempotency() == Idempotency.GUARDED;
    long workUs = (long) RandomStreams.logNormal(work, booking ? 67_000 : 84_000, 0.3) + 46_000 / 4;
    int port = way.port();
    time.scheduleAfter(
        latency(broker, store),
        () -> arrive(out, port, booking ? part.key() + "." + part.shard() : "", workUs));
  }

  private void arrive(OutstandingAttempt out, int port, String key, long workUs) {
    if (out.store.port != port) {
      answer(out, AttemptOutcome.CONNECT_FAILED, "");
      return;
    }
    SimulatedStore.Admission taken =
        out.store.submit(
            key,
            workUs,
            () -> {
              boolean spoilt = corruptShare > 0 && network.nextDouble() < corruptShare;
              answer(
                  out,
                  spoilt ? AttemptOutcome.RESET : AttemptOutcome.OK,
                  value(out.request.text(), out.request.shard()));
            });
    if (taken == SimulatedStore.Admission.DOWN) {
      answer(out, AttemptOutcome.CONNECT_FAILED, "");
    } else if (taken == SimulatedStore.Admission.REJECTED) {
      answer(out, AttemptOutcome.FULL, "");
    }
  }

  private void answer(OutstandingAttempt out, AttemptOutcome outcome, String value) {
    if (isCut(out.broker, out.store)) {
      return;
    }
    float[] report =
        reportDelayUs > 0 || outcome == AttemptOutcome.CONNECT_FAILED
            ? new float[0]
            : out.store.report();
    time.scheduleAfter(latency(out.broker, out.store), () -> end(out, outcome, report, value));
  }

  private void end(OutstandingAttempt out, AttemptOutcome outcome, float[] report, String value) {
    if (out.ended || out.broker.isCrashed()) {
      return;
    }
    out.ended = true;
    outstanding.get(out.broker.number).remove(out.request.attempt());
    line(
        "broker "
            + out.broker.number
            + " has "
            + out.request.partId()
            + " "
            + outcome
            + " of "
            + out.store.name);
    checker.attemptEnded(
        out.broker.number, out.request.partId(), out.request.attempt(), outcome.neverExecuted());
    if (by(Defect.MANY_ATTEMPTS, 0.002)) {
      for (int i = 0; i < 4; i++) {
        checker.attemptSent(
            out.broker.number,
            out.store,
            null,
            out.request.partId(),
            out.request.shard(),
            -i,
            CELL_COUNT);
        checker.attemptEnded(
            out.broker.number,
            out.request.partId(),
            -1 - (long) (defects.nextDouble() * 1e15),
            false);
      }
    }
    out.broker.accept(new Event.AttemptCompleted(out.request.attempt(), outcome, report, value));
  }

  // ---- clients

  private void arrive() {
    if (time.now() >= START_US + day.seconds() * 1_000_000L) {
      return;
    }
    time.scheduleAfter(
        (long) RandomStreams.exponential(clients, 1e6 / (day.queriesPerSecond() * trafficFactor)),
        this::arrive);
    boolean booking = clients.nextDouble() < 0.5;
    int first = clients.nextInt(SHARD_COUNT);
    List<QueryRequest.PartRequest> parts = new ArrayList<>();
    int many = booking ? 1 : 6;
    for (int i = 0; i < many; i++) {
      parts.add(new QueryRequest.PartRequest((first + i) % SHARD_COUNT, 1.0 / many, 0));
    }
    QueryClass kind = kind(booking);
    int number = ++lastQuery;
    long waits = (long) (kind.deadlineUs() * RandomStreams.uniform(clients, 0.6, 1));
    QueryRequest ask =
        new QueryRequest(
            "q" + number,
            booking ? "k" + number : "",
            kind,
            time.now() + waits,
            false,
            parts,
            "t" + number);
    offeredWeight += kind.priorityWeight();
    ask(new ClientQuery(ask, 0, time.now(), clients.nextDouble() < 0.8));
  }

  private QueryClass kind(boolean booking) {
    return settings.classes().get(booking ? 1 : 0);
  }

  private void ask(ClientQuery a) {
    SimulatedBroker broker = slots[clients.nextInt(BROKER_COUNT)];
    if (broker.isCrashed()) {
      return; // nobody is there
    }
    openQueries.put(a.request().id(), a);
    line(
        "broker "
            + broker.number
            + " takes "
            + a.request().id()
            + " "
            + a.request().queryClass().name());
    checker.queryAccepted(broker.number, a.request());
    long exchange = ++lastExchange;
    exchanges.put(broker.number + " " + exchange, a.request().id());
    broker.accept(new Event.QueryReceived(exchange, a.request()));
    if (clients.nextDouble() < 0.02) {
      time.scheduleAfter(
          (long) RandomStreams.uniform(clients, 10_000, 1_000_000),
          () -> {
            if (openQueries.remove(a.request().id()) != null) {
              line("client of " + a.request().id() + " leaves");
              checker.clientDisconnected(a.request().id());
              broker.accept(new Event.ClientDisconnected(exchange));
            }
          });
    }
  }

  private void reply(SimulatedBroker broker, long exchange, QueryResponse answer) {
    String id = exchanges.get(broker.number + " " + exchange);
    ClientQuery a = openQueries.get(id);
    if (a == null) {
      return; // its client has left meanwhile
    }
    if (by(Defect.LOST_ANSWER, 0.01)) {
      return;
    }
    if (by(Defect.LATE_ANSWER, 0.01)) {
      time.scheduleAfter(5_000_000, () -> checker.queryAnswered(id, answer));
      return;
    }
    QueryResponse told = spoil(answer);
    line(
        "broker "
            + broker.number
            + " answers "
            + id
            + " "
            + told.getClass().getSimpleName()
            + (told instanceof QueryResponse.Served s
                ? (s.complete() ? " whole" : " partly " + s.parts().size())
                : ""));
    checker.queryAnswered(id, told);
    if (by(Defect.TWO_ANSWERS, 0.01)) {
      checker.queryAnswered(id, told);
    }
    openQueries.remove(id);
    heard(a, told);
  }

  private QueryResponse spoil(QueryResponse answer) {
    if (!(answer instanceof QueryResponse.Served s)) {
      return answer;
    }
    if (day.defect() == Defect.FALSE_WHOLE && !s.complete()) {
      return new QueryResponse.Served(true, s.parts());
    }
    if (by(Defect.OTHER_VALUE, 0.01)) {
      List<QueryResponse.PartValue> parts = new ArrayList<>(s.parts());
      parts.set(0, new QueryResponse.PartValue(parts.get(0).shard(), "another's"));
      return new QueryResponse.Served(s.complete(), parts);
    }
    if (s.parts().size() > 1 && by(Defect.UNDER_THE_FLOOR, 0.01)) {
      return new QueryResponse.Served(false, s.parts().subList(0, 1));
    }
    return answer;
  }

  /**
   * What a client does with its answer: it keeps it, or comes back, sooner or later as it was told
   * or not.
   */
  private void heard(ClientQuery a, QueryResponse answer) {
    QueryClass kind = a.request().queryClass();
    if (answer instanceof QueryResponse.Served s) {
      double share = s.parts().stream().mapToDouble(v -> 1.0 / a.request().parts().size()).sum();
      double earned =
          kind.priorityWeight() * (s.complete() ? 1 : kind.partialWeight() * share / kind.need());
      servedWeight +=
          time.now() <= a.startedUs() + kind.latencyObjectiveUs()
              ? earned
              : earned * kind.lateWeight();
      return;
    }
    if (a.retries() >= 2 || time.now() >= a.request().deadlineUs() - 100_000) {
      return;
    }
    long advised = answer instanceof QueryResponse.Rejected r ? r.retryAfterUs() : 0;
    long wait =
        a.honorsRetryAfter()
            ? Math.max(advised, (long) RandomStreams.uniform(clients, 20_000, 200_000))
            : 5_000;
    time.scheduleAfter(
        wait,
        () -> {
          if (time.now() >= a.request().deadlineUs() - 50_000) {
            return;
          }
          QueryRequest old = a.request();
          QueryRequest again =
              new QueryRequest(
                  old.id().replaceAll("r.*", "") + "r" + (a.retries() + 1),
                  old.key(),
                  old.queryClass(),
                  old.deadlineUs(),
                  true,
                  old.parts(),
                  old.text());
          ask(new ClientQuery(again, a.retries() + 1, a.startedUs(), a.honorsRetryAfter()));
        });
  }
}
