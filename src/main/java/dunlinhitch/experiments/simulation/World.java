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
 * A day: brokers that are the real ones from the reducer inward, and models of all that is around
 * them. docs/simulation.md has the models and what is outside. One thread; the same seed, script
 * and build give the same lines byte for byte.
 */
public final class World {
  static final int CELLS = 6;
  static final int SHARDS = 24;
  private static final int SETS = 3;
  private static final int BROKERS = 3;
  private static final long START_US = 1_700_000_000_000_000L;
  private static final long NEAR_US = 100;
  private static final long SETTLE_US = 8_000_000;
  private static final String RECORDS = "dns_sd day";

  /** A day to be played; {@code queriesPerS} over all brokers. */
  public record Day(long seed, int seconds, double queriesPerS, List<Fault> faults, Defect defect) {
    public Day {
      faults = List.copyOf(faults);
    }

    Day with(List<Fault> others) {
      return new Day(seed, seconds, queriesPerS, others, defect);
    }

    Day with(int otherSeconds, double rate) {
      return new Day(seed, otherSeconds, rate, faults, defect);
    }
  }

  /** How it went; {@code lines} only where they were asked for. */
  public record Result(
      Day day,
      Checker.Breach breach,
      double worth,
      double asked,
      long steps,
      String digest,
      List<String> lines) {
    public double share() {
      return asked == 0 ? 1 : worth / asked;
    }
  }

  /** A store as one broker reaches it. */
  private record Way(SimStore store, int port) {}

  /** An attempt that is out. */
  private static final class Out {
    private final SimBroker broker;
    private final SimStore store;
    private final Effect.AttemptRequest part;
    private boolean over;

    Out(SimBroker broker, SimStore store, Effect.AttemptRequest part) {
      this.broker = broker;
      this.store = store;
      this.part = part;
    }
  }

  private record Asked(QueryRequest ask, int tries, long beganUs, boolean obeys) {}

  private final Day day;
  private final Scheduler time = new Scheduler(START_US);
  private final Streams streams;
  private final Checker checker = new Checker(time);
  private final Settings settings = settings(true);
  private final List<SimStore> stores = new ArrayList<>();
  private final SimBroker[] slots = new SimBroker[BROKERS];
  private final List<Map<Integer, Way>> ways = new ArrayList<>();
  private final List<Map<Long, Out>> outs = new ArrayList<>();
  private final List<SimBroker> all = new ArrayList<>();
  private final Map<String, Asked> open = new LinkedHashMap<>();
  private final Map<String, String> exchanges = new HashMap<>();
  private final UniformRandomProvider clients;
  private final UniformRandomProvider network;
  private final UniformRandomProvider work;
  private final UniformRandomProvider discovery;
  private final UniformRandomProvider defects;
  private final boolean byRecords;
  private final boolean keepLines;
  private final List<String> kept = new ArrayList<>();
  private final MessageDigest digest;
  private double jump = 1;
  private double slowAll = 1;
  private long lateReportsUs;
  private double garble;
  private final Map<String, Integer> cuts = new HashMap<>();
  private final Map<Integer, Long> toldUs = new HashMap<>();
  private boolean classDropped;
  private int lastPort = 7000;
  private int lastQuery;
  private long lastExchange;
  private int lastStore;
  private double worth;
  private double asked;

  private World(Day day, boolean keepLines) {
    this.day = day;
    this.keepLines = keepLines;
    streams = new Streams(day.seed());
    clients = streams.of("clients");
    network = streams.of("network");
    work = streams.of("work");
    discovery = streams.of("discovery");
    defects = streams.of("defects");
    byRecords = day.seed() % 2 == 1;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Plays the day to its end, or to the first breach. */
  public static Result play(Day day, boolean keepLines) {
    return new World(day, keepLines).run();
  }

  static String value(String text, int shard) {
    return text + "/" + shard;
  }

  /** As the deployment's, for three brokers. */
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
        BROKERS,
        List.of("a", "b"),
        0,
        5_000,
        classes,
        List.of(),
        0.1,
        new ShardLayout(CELLS, 1, SHARDS, 8, 46_000),
        new Limits(4, 300, true, true, false, true, 500_000, 250_000, 32, 15_000_000),
        new Rules(
            20_000,
            10_000_000,
            -1,
            0,
            0,
            SimStore.COLD,
            SimStore.WARM_US,
            SimStore.OVERLOAD,
            SimStore.FALL_US,
            250_000),
        new Prices(0.01, 0.012, 0.11, 0.03),
        false,
        true,
        true,
        List.of(LoadReportField.RECENT_MS, LoadReportField.BACKLOG),
        false);
  }

  private Result run() {
    for (int i = 0; i < CELLS * SETS; i++) {
      add(i % CELLS, i / CELLS % 2, 0);
    }
    for (int slot = 0; slot < BROKERS; slot++) {
      begin(slot);
    }
    for (Fault fault : day.faults()) {
      if (fault.fromUs() >= 0) { // the others wait for their store to start
        time.at(START_US + fault.fromUs(), () -> apply(fault));
      }
    }
    time.after(500_000, this::arrive);
    time.after(100_000, this::look);
    long endUs = START_US + day.seconds() * 1_000_000L;
    time.until(endUs + SETTLE_US, () -> checker.breach() == null);
    if (checker.breach() == null) {
      int still = 0;
      for (SimBroker broker : all) {
        still += broker.isDead() ? 0 : broker.reducer.openQueries();
      }
      checker.over(still);
    }
    return new Result(
        day,
        checker.breach(),
        worth,
        asked,
        time.steps(),
        HexFormat.of().formatHex(digest.digest()),
        kept);
  }

  private void line(String text) {
    checker.line(text);
    digest.update((time.now() + " " + text + "\n").getBytes(StandardCharsets.UTF_8));
    if (keepLines) {
      kept.add(time.now() - START_US + " " + text);
    }
  }

  private void look() {
    checker.look();
    if (time.now() < START_US + day.seconds() * 1_000_000L + SETTLE_US) {
      time.after(100_000, this::look);
    }
  }

  // ---- stores and what is told of them

  private SimStore add(int cell, int room, long startedUs) {
    String name = "s" + lastStore++;
    SimStore[] made = {null};
    made[0] =
        new SimStore(
            name,
            cell,
            room,
            ++lastPort,
            time,
            streams.of("store " + name),
            sentUs -> {
              line("store " + name + " fell over after " + sentUs + " us of work");
              checker.broken("a cold store was pushed over", name);
            });
    made[0].startedUs = startedUs;
    stores.add(made[0]);
    return made[0];
  }

  private SimStore store(String name) {
    return stores.stream()
        .filter(s -> s.name.equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no such store: " + name));
  }

  private Endpoint entry(SimStore s, ServerState state) {
    long started = day.defect() == Defect.COLD_FLOOD ? 0 : s.startedUs;
    return new Endpoint(
        s.name, "10.0.0.1", s.port, s.room, s.cell, state, 1, started, Protocol.FRAMES);
  }

  private void begin(int slot) {
    SimBroker broker =
        new SimBroker(
            all.size(),
            classDropped ? settings(false) : settings,
            day.seed() * 31 + all.size(),
            time,
            this::carryOut);
    all.add(broker);
    ways.add(new HashMap<>());
    outs.add(new LinkedHashMap<>());
    slots[slot] = broker;
    List<Endpoint> listed =
        stores.stream()
            .filter(s -> s.running && !s.draining)
            .map(s -> entry(s, ServerState.READY))
            .toList();
    if (byRecords) {
      broker.accept(new Event.SourceRegistered(RECORDS, 1));
      broker.accept(
          new Event.SourceUpdated(RECORDS, true, listed.stream().map(this::claim).toList()));
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
  private void tell(SimStore s, ServerState state, boolean quick) {
    Endpoint entry = entry(s, state);
    for (SimBroker broker : slots) {
      long delay =
          (long)
              (quick || byRecords
                  ? Streams.between(discovery, 1_000, 60_000)
                  : Streams.between(discovery, 200_000, 3_000_000));
      boolean late = day.defect() == Defect.LATE_DRAIN && state != ServerState.READY;
      // one agent tells a broker, in the order of what happened
      long atUs = Math.max(time.now() + delay, toldUs.getOrDefault(broker.number, 0L));
      toldUs.put(broker.number, atUs);
      time.at(
          atUs,
          () -> {
            if (broker.isDead()) {
              return;
            }
            line("broker " + broker.number + " is told " + s.name + " " + state);
            checker.told(broker.number, s.name, state == ServerState.READY);
            Event event =
                byRecords
                    ? new Event.SourceUpdated(RECORDS, false, List.of(claim(entry)))
                    : new Event.EndpointsUpdated(ServerListKind.DELTA, List.of(entry));
            time.after(late ? 2_000_000 : 0, () -> broker.accept(event));
          });
    }
  }

  private void crash(SimStore s) {
    line("store " + s.name + " dies");
    s.stop();
    reset(s);
    tell(s, ServerState.GONE, false);
  }

  /** What is out there ends with its connections. */
  private void reset(SimStore s) {
    for (int i = 0; i < outs.size(); i++) {
      SimBroker broker = all.get(i);
      for (Out out : List.copyOf(outs.get(i).values())) {
        if (out.store == s && !isCut(broker, s)) {
          time.after(latency(broker, s), () -> end(out, AttemptOutcome.RESET, new float[0], ""));
        }
      }
    }
  }

  private void startCold(SimStore s) {
    s.start();
    line("store " + s.name + " starts cold");
    tell(s, ServerState.READY, false);
    for (Fault fault : day.faults()) {
      if (fault.fromUs() < 0 && fault.whenCold().equals(s.name)) {
        apply(
            new Fault(
                time.now() - START_US,
                time.now() - START_US + 3_000_000,
                "",
                fault.what(),
                fault.who(),
                fault.by()));
      }
    }
  }

  // ---- troubles

  private void apply(Fault f) {
    line("trouble " + f);
    long endUs = START_US + f.toUs();
    boolean ends = f.toUs() >= 0;
    switch (f.what()) {
      case "crash" ->
          f.who()
              .forEach(
                  name -> {
                    SimStore s = store(name);
                    crash(s);
                    time.at(ends ? endUs : time.now() + 8_000_000, () -> startCold(s));
                  });
      case "room" ->
          stores.stream()
              .filter(s -> s.room == (f.who().get(0).equals("a") ? 0 : 1))
              .toList()
              .forEach(
                  s -> {
                    crash(s);
                    time.at(ends ? endUs : time.now() + 5_000_000, () -> startCold(s));
                  });
      case "drain" ->
          f.who()
              .forEach(
                  name -> {
                    SimStore s = store(name);
                    s.draining = true;
                    tell(s, ServerState.DRAINING, false);
                    time.at(
                        ends ? endUs : time.now() + 8_000_000,
                        () -> {
                          s.stop();
                          reset(s);
                          startCold(s);
                        });
                  });
      case "move" ->
          f.who()
              .forEach(
                  name -> {
                    SimStore s = store(name);
                    s.stop();
                    reset(s);
                    s.port = ++lastPort;
                    startCold(s);
                  });
      case "replace" ->
          f.who()
              .forEach(
                  name -> {
                    SimStore s = store(name);
                    s.draining = true;
                    tell(s, ServerState.DRAINING, false);
                    time.after(4_000_000, () -> crash(s));
                    time.after(1_000_000, () -> startCold(add(s.cell, s.room, time.now())));
                  });
      case "withdraw" ->
          f.who()
              .forEach(
                  name -> {
                    SimStore s = store(name);
                    tell(s, ServerState.GONE, true);
                    time.at(
                        ends ? endUs : time.now() + 500_000,
                        () -> {
                          if (s.running) {
                            tell(s, ServerState.READY, true);
                          }
                        });
                  });
      case "slow" -> during(f, 1, by -> f.who().forEach(name -> store(name).slow = slowAll * by));
      case "slow-all" ->
          during(
              f,
              1,
              by -> {
                slowAll = by;
                stores.forEach(s -> s.slow = by);
              });
      case "jump" -> during(f, 1, by -> jump = by);
      case "late" -> during(f, 0, by -> lateReportsUs = (long) by.doubleValue());
      case "garble" -> during(f, 0, by -> garble = by);
      case "cut" -> {
        String link = f.who().get(0) + " " + f.who().get(1);
        cuts.merge(link, 1, Integer::sum);
        time.at(ends ? endUs : time.now() + 2_000_000, () -> cuts.merge(link, -1, Integer::sum));
      }
      case "kill" -> {
        int slot = Integer.parseInt(f.who().get(0).substring(1));
        SimBroker broker = slots[slot];
        if (!broker.isDead()) {
          broker.die();
          checker.died(broker.number);
          outs.get(broker.number).clear();
          time.at(ends ? endUs : time.now() + 2_000_000, () -> begin(slot));
        }
      }
      case "settings" -> {
        classDropped = true;
        retune(settings(false));
        time.at(
            ends ? endUs : time.now() + 5_000_000,
            () -> {
              classDropped = false;
              retune(settings);
            });
      }
      default -> throw new IllegalStateException(f.what());
    }
  }

  private void during(Fault f, double normal, Consumer<Double> set) {
    set.accept(f.by());
    time.at(f.toUs() >= 0 ? START_US + f.toUs() : time.now() + 5_000_000, () -> set.accept(normal));
  }

  private void retune(Settings to) {
    for (SimBroker broker : slots) {
      broker.accept(new Event.ConfigurationReloaded(to, "10.0.0.9", 8500));
    }
  }

  // ---- network

  private long latency(SimBroker broker, SimStore s) {
    long way = s.room == broker.number % 2 ? NEAR_US : (long) Streams.between(network, 700, 1_300);
    return way + (long) Streams.exponential(network, 60);
  }

  private boolean isCut(SimBroker broker, SimStore s) {
    for (int slot = 0; slot < BROKERS; slot++) {
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

  private void carryOut(SimBroker broker, Effect effect) {
    if (effect instanceof Effect.EndpointChanged e) {
      if (e.endpoint().state() == ServerState.GONE) {
        ways.get(broker.number).remove(e.number());
      } else {
        stores.stream()
            .filter(s -> s.name.equals(e.endpoint().name()))
            .findFirst()
            .ifPresent(
                s -> ways.get(broker.number).put(e.number(), new Way(s, e.endpoint().port())));
      }
    } else if (effect instanceof Effect.SendRequest e) {
      Way way = ways.get(broker.number).get(e.endpoint());
      e.parts().forEach(part -> send(broker, way, part));
      broker.accept(new Event.AttemptsWritten(e.parts().size()));
    } else if (effect instanceof Effect.CancelAttempt e) {
      Out out = outs.get(broker.number).remove(e.attempt());
      if (out != null) {
        out.over = true;
        checker.ended(broker.number, out.part.partId(), e.attempt(), false);
      }
    } else if (effect instanceof Effect.SendHealthCheck e) {
      Way way = ways.get(broker.number).get(e.endpoint());
      if (way != null && !isCut(broker, way.store())) {
        time.after(
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
        checker.broken("a fault in the decisions", "broker " + broker.number);
      }
    }
  }

  private void send(SimBroker broker, Way way, Effect.AttemptRequest part) {
    if (way == null) {
      time.after(
          NEAR_US,
          () ->
              broker.accept(
                  Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.CONNECT_FAILED)));
      return;
    }
    SimStore to = way.store();
    if (by(Defect.WRONG_SHARD, 0.005)) {
      to = stores.get((stores.indexOf(to) + 1) % stores.size());
    }
    if (day.defect() == Defect.TO_THE_DRAINED) {
      int cell = to.cell;
      to = stores.stream().filter(s -> s.cell == cell && s.draining).findFirst().orElse(to);
    }
    SimStore store = to;
    Out out = new Out(broker, store, part);
    outs.get(broker.number).put(part.attempt(), out);
    String query = part.partId().substring(0, part.partId().indexOf('.'));
    Asked of = open.get(query);
    QueryRequest ask = of == null ? null : of.ask();
    line(
        "broker "
            + broker.number
            + " sends "
            + part.partId()
            + " to "
            + store.name
            + " attempt "
            + part.attempt());
    checker.sent(broker.number, store, ask, part.partId(), part.shard(), part.attempt(), CELLS);
    if (by(Defect.TWO_OUT, 0.002)) {
      checker.sent(broker.number, store, ask, part.partId(), part.shard(), part.attempt(), CELLS);
    }
    if (ask != null
        && ask.queryClass().idempotency() == Idempotency.GUARDED
        && by(Defect.AFTER_THE_WINDOW, 0.02)) {
      time.after(
          4_500_000,
          () -> {
            checker.ended(broker.number, part.partId(), part.attempt(), false);
            checker.sent(
                broker.number, store, ask, part.partId(), part.shard(), part.attempt(), CELLS);
          });
    }
    if (isCut(broker, store)) {
      return; // nothing comes back; the broker gives it up
    }
    boolean booking = ask != null && ask.queryClass().idempotency() == Idempotency.GUARDED;
    long workUs = (long) Streams.logNormal(work, booking ? 67_000 : 84_000, 0.3) + 46_000 / 4;
    int port = way.port();
    time.after(
        latency(broker, store),
        () -> arrive(out, port, booking ? part.key() + "." + part.shard() : "", workUs));
  }

  private void arrive(Out out, int port, String key, long workUs) {
    if (out.store.port != port) {
      answer(out, AttemptOutcome.CONNECT_FAILED, "");
      return;
    }
    SimStore.Taken taken =
        out.store.take(
            key,
            workUs,
            () -> {
              boolean spoilt = garble > 0 && network.nextDouble() < garble;
              answer(
                  out,
                  spoilt ? AttemptOutcome.RESET : AttemptOutcome.OK,
                  value(out.part.text(), out.part.shard()));
            });
    if (taken == SimStore.Taken.DOWN) {
      answer(out, AttemptOutcome.CONNECT_FAILED, "");
    } else if (taken == SimStore.Taken.TURNED_AWAY) {
      answer(out, AttemptOutcome.FULL, "");
    }
  }

  private void answer(Out out, AttemptOutcome outcome, String value) {
    if (isCut(out.broker, out.store)) {
      return;
    }
    float[] report =
        lateReportsUs > 0 || outcome == AttemptOutcome.CONNECT_FAILED
            ? new float[0]
            : out.store.report();
    time.after(latency(out.broker, out.store), () -> end(out, outcome, report, value));
  }

  private void end(Out out, AttemptOutcome outcome, float[] report, String value) {
    if (out.over || out.broker.isDead()) {
      return;
    }
    out.over = true;
    outs.get(out.broker.number).remove(out.part.attempt());
    line(
        "broker "
            + out.broker.number
            + " has "
            + out.part.partId()
            + " "
            + outcome
            + " of "
            + out.store.name);
    checker.ended(
        out.broker.number, out.part.partId(), out.part.attempt(), outcome.neverExecuted());
    if (by(Defect.MANY_ATTEMPTS, 0.002)) {
      for (int i = 0; i < 4; i++) {
        checker.sent(
            out.broker.number, out.store, null, out.part.partId(), out.part.shard(), -i, CELLS);
        checker.ended(
            out.broker.number, out.part.partId(), -1 - (long) (defects.nextDouble() * 1e15), false);
      }
    }
    out.broker.accept(new Event.AttemptCompleted(out.part.attempt(), outcome, report, value));
  }

  // ---- clients

  private void arrive() {
    if (time.now() >= START_US + day.seconds() * 1_000_000L) {
      return;
    }
    time.after((long) Streams.exponential(clients, 1e6 / (day.queriesPerS() * jump)), this::arrive);
    boolean booking = clients.nextDouble() < 0.5;
    int first = clients.nextInt(SHARDS);
    List<QueryRequest.PartRequest> parts = new ArrayList<>();
    int many = booking ? 1 : 6;
    for (int i = 0; i < many; i++) {
      parts.add(new QueryRequest.PartRequest((first + i) % SHARDS, 1.0 / many, 0));
    }
    QueryClass kind = kind(booking);
    int number = ++lastQuery;
    long waits = (long) (kind.deadlineUs() * Streams.between(clients, 0.6, 1));
    QueryRequest ask =
        new QueryRequest(
            "q" + number,
            booking ? "k" + number : "",
            kind,
            time.now() + waits,
            false,
            parts,
            "t" + number);
    asked += kind.priorityWeight();
    ask(new Asked(ask, 0, time.now(), clients.nextDouble() < 0.8));
  }

  private QueryClass kind(boolean booking) {
    return settings.classes().get(booking ? 1 : 0);
  }

  private void ask(Asked a) {
    SimBroker broker = slots[clients.nextInt(BROKERS)];
    if (broker.isDead()) {
      return; // nobody is there
    }
    open.put(a.ask().id(), a);
    line("broker " + broker.number + " takes " + a.ask().id() + " " + a.ask().queryClass().name());
    checker.taken(broker.number, a.ask());
    long exchange = ++lastExchange;
    exchanges.put(broker.number + " " + exchange, a.ask().id());
    broker.accept(new Event.QueryReceived(exchange, a.ask()));
    if (clients.nextDouble() < 0.02) {
      time.after(
          (long) Streams.between(clients, 10_000, 1_000_000),
          () -> {
            if (open.remove(a.ask().id()) != null) {
              line("client of " + a.ask().id() + " leaves");
              checker.left(a.ask().id());
              broker.accept(new Event.ClientDisconnected(exchange));
            }
          });
    }
  }

  private void reply(SimBroker broker, long exchange, QueryResponse answer) {
    String id = exchanges.get(broker.number + " " + exchange);
    Asked a = open.get(id);
    if (a == null) {
      return; // its client has left meanwhile
    }
    if (by(Defect.LOST_ANSWER, 0.01)) {
      return;
    }
    if (by(Defect.LATE_ANSWER, 0.01)) {
      time.after(5_000_000, () -> checker.answered(id, answer));
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
    checker.answered(id, told);
    if (by(Defect.TWO_ANSWERS, 0.01)) {
      checker.answered(id, told);
    }
    open.remove(id);
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
  private void heard(Asked a, QueryResponse answer) {
    QueryClass kind = a.ask().queryClass();
    if (answer instanceof QueryResponse.Served s) {
      double share = s.parts().stream().mapToDouble(v -> 1.0 / a.ask().parts().size()).sum();
      double earned =
          kind.priorityWeight() * (s.complete() ? 1 : kind.partialWeight() * share / kind.need());
      worth +=
          time.now() <= a.beganUs() + kind.latencyObjectiveUs()
              ? earned
              : earned * kind.lateWeight();
      return;
    }
    if (a.tries() >= 2 || time.now() >= a.ask().deadlineUs() - 100_000) {
      return;
    }
    long advised = answer instanceof QueryResponse.Rejected r ? r.retryAfterUs() : 0;
    long wait =
        a.obeys() ? Math.max(advised, (long) Streams.between(clients, 20_000, 200_000)) : 5_000;
    time.after(
        wait,
        () -> {
          if (time.now() >= a.ask().deadlineUs() - 50_000) {
            return;
          }
          QueryRequest old = a.ask();
          QueryRequest again =
              new QueryRequest(
                  old.id().replaceAll("r.*", "") + "r" + (a.tries() + 1),
                  old.key(),
                  old.queryClass(),
                  old.deadlineUs(),
                  true,
                  old.parts(),
                  old.text());
          ask(new Asked(again, a.tries() + 1, a.beganUs(), a.obeys()));
        });
  }
}
