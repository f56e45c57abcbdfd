package dunlinhitch.experiments.simulation;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.ServerListKind;
import dunlinhitch.balancer.ServerState;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.QueryRequest;
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
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Simulates one schedule with production reducers and with models of the stores, the network,
 * discovery and the clients. docs/simulation.md describes the models and their limits. Runs on one
 * thread; the same schedule and build give a byte-for-byte identical trace.
 */
public final class Simulation {
  private static final int REPLICA_SETS = 3;
  private static final int BROKER_COUNT = SimulationSettings.BROKER_COUNT;
  static final long START_US = 1_700_000_000_000_000L;
  private static final long SAME_ZONE_LATENCY_US = 100;
  private static final long DRAIN_PERIOD_US = 8_000_000;
  private static final String DNS_SOURCE = "dns_sd day";

  /** A store and the port at which a broker reaches the store. */
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

  private final SimulationSchedule schedule;
  private final FaultInjector faults;
  private final SimulatedClients clients;
  private final Scheduler time = new Scheduler(START_US);
  private final RandomStreams streams;
  private final InvariantChecker checker = new InvariantChecker(time);
  private final Settings settings = SimulationSettings.create(true);
  private final List<SimulatedStore> stores = new ArrayList<>();
  private final SimulatedBroker[] slots = new SimulatedBroker[BROKER_COUNT];
  private final List<Map<Integer, Route>> routes = new ArrayList<>();
  private final List<Map<Long, OutstandingAttempt>> outstanding = new ArrayList<>();
  private final List<SimulatedBroker> allBrokers = new ArrayList<>();
  private final UniformRandomProvider network;
  private final UniformRandomProvider work;
  private final UniformRandomProvider discovery;
  private final UniformRandomProvider defects;
  private final boolean usesDnsSource;
  private final boolean keepTrace;
  private final List<String> trace = new ArrayList<>();
  private final MessageDigest digest;
  private final Map<Integer, Long> lastNotificationUs = new HashMap<>();
  private boolean classDropped;
  private int lastPort = 7000;
  private int lastStore;

  private Simulation(SimulationSchedule schedule, boolean keepTrace) {
    this.schedule = schedule;
    this.keepTrace = keepTrace;
    streams = new RandomStreams(schedule.seed());
    faults = new FaultInjector(this, time, START_US);
    clients =
        new SimulatedClients(
            this, schedule, time, checker, faults, settings, streams.stream("clients"));
    network = streams.stream("network");
    work = streams.stream("work");
    discovery = streams.stream("discovery");
    defects = streams.stream("defects");
    usesDnsSource = schedule.seed() % 2 == 1;
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Simulates a schedule until its end or the first violation. */
  public static SimulationResult play(SimulationSchedule schedule, boolean keepTrace) {
    return new Simulation(schedule, keepTrace).run();
  }

  static String value(String text, int shard) {
    return text + "/" + shard;
  }

  private SimulationResult run() {
    for (int i = 0; i < SimulationSettings.CELL_COUNT * REPLICA_SETS; i++) {
      addStore(i % SimulationSettings.CELL_COUNT, i / SimulationSettings.CELL_COUNT % 2, 0);
    }
    for (int slot = 0; slot < BROKER_COUNT; slot++) {
      startBroker(slot);
    }
    for (Fault fault : schedule.faults()) {
      // A fault with a negative start time is applied when its store restarts.
      if (fault.fromUs() >= 0) {
        time.scheduleAt(START_US + fault.fromUs(), () -> faults.apply(fault));
      }
    }
    time.scheduleAfter(500_000, clients::arrive);
    time.scheduleAfter(100_000, this::checkOverdue);
    long endUs = START_US + schedule.seconds() * 1_000_000L;
    time.runUntil(endUs + DRAIN_PERIOD_US, () -> checker.violation() == null);
    if (checker.violation() == null) {
      int openQueries = 0;
      for (SimulatedBroker broker : allBrokers) {
        openQueries += broker.isCrashed() ? 0 : broker.reducer.openQueries();
      }
      checker.simulationEnded(openQueries);
    }
    return new SimulationResult(
        schedule,
        checker.violation(),
        clients.servedWeight(),
        clients.offeredWeight(),
        time.steps(),
        HexFormat.of().formatHex(digest.digest()),
        trace);
  }

  /** Returns the broker in a slot. The broker may have crashed. */
  SimulatedBroker broker(int slot) {
    return slots[slot];
  }

  /** Returns all stores in the order in which they were added. */
  List<SimulatedStore> stores() {
    return stores;
  }

  /** Returns a port that no store has used before. */
  int allocatePort() {
    return ++lastPort;
  }

  /** Replaces the settings of all brokers, with or without the query class that books slots. */
  void reloadSettings(boolean bookings) {
    classDropped = !bookings;
    Settings reloaded = bookings ? settings : SimulationSettings.create(false);
    for (SimulatedBroker broker : slots) {
      broker.accept(new Event.ConfigurationReloaded(reloaded, "10.0.0.9", 8500));
    }
  }

  /**
   * Crashes the broker in a slot and drops its outstanding attempts. Returns false if the broker
   * has already crashed.
   */
  boolean crashBroker(int slot) {
    SimulatedBroker broker = slots[slot];
    if (broker.isCrashed()) {
      return false;
    }
    broker.crash();
    checker.brokerCrashed(broker.number);
    outstanding.get(broker.number).clear();
    return true;
  }

  void line(String text) {
    checker.recordLine(text);
    digest.update((time.now() + " " + text + "\n").getBytes(StandardCharsets.UTF_8));
    if (keepTrace) {
      trace.add(time.now() - START_US + " " + text);
    }
  }

  private void checkOverdue() {
    checker.checkOverdueQueries();
    if (time.now() < START_US + schedule.seconds() * 1_000_000L + DRAIN_PERIOD_US) {
      time.scheduleAfter(100_000, this::checkOverdue);
    }
  }

  SimulatedStore addStore(int cell, int zone, long startedUs) {
    String name = "s" + lastStore++;
    SimulatedStore[] created = {null};
    created[0] =
        new SimulatedStore(
            name,
            cell,
            zone,
            ++lastPort,
            time,
            streams.stream("store " + name),
            receivedWorkUs -> {
              line("store " + name + " fell over after " + receivedWorkUs + " us of work");
              checker.reportViolation("a store overloaded during slow start", name);
            });
    created[0].startedUs = startedUs;
    stores.add(created[0]);
    return created[0];
  }

  SimulatedStore store(String name) {
    return stores.stream()
        .filter(store -> store.name.equals(name))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown store: " + name));
  }

  private Endpoint endpoint(SimulatedStore store, ServerState state) {
    long started = schedule.defect() == Defect.COLD_FLOOD ? 0 : store.startedUs;
    return new Endpoint(
        store.name,
        "10.0.0.1",
        store.port,
        store.zone,
        store.cell,
        state,
        1,
        started,
        Protocol.FRAMES);
  }

  void startBroker(int slot) {
    SimulatedBroker broker =
        new SimulatedBroker(
            allBrokers.size(),
            classDropped ? SimulationSettings.create(false) : settings,
            schedule.seed() * 31 + allBrokers.size(),
            time,
            this::handleEffect);
    allBrokers.add(broker);
    routes.add(new HashMap<>());
    outstanding.add(new LinkedHashMap<>());
    slots[slot] = broker;
    List<Endpoint> endpoints =
        stores.stream()
            .filter(store -> store.running && !store.draining)
            .map(store -> endpoint(store, ServerState.READY))
            .toList();
    if (usesDnsSource) {
      broker.accept(new Event.SourceRegistered(DNS_SOURCE, 1));
      broker.accept(
          new Event.SourceUpdated(DNS_SOURCE, true, endpoints.stream().map(this::claim).toList()));
    } else {
      broker.accept(new Event.EndpointsUpdated(ServerListKind.FULL, endpoints));
    }
  }

  private EndpointClaim claim(Endpoint entry) {
    return entry.state() == ServerState.GONE
        ? EndpointClaim.withdrawal(entry.name(), time.now())
        : new EndpointClaim(entry.name(), entry, time.now(), TimingWheel.NEVER);
  }

  /**
   * Notifies all brokers of the state of an endpoint, each after a random delay. If {@code quick}
   * is true, the delay is short, as with DNS push.
   */
  void notifyBrokers(SimulatedStore store, ServerState state, boolean quick) {
    Endpoint entry = endpoint(store, state);
    for (SimulatedBroker broker : slots) {
      long delay =
          (long)
              (quick || usesDnsSource
                  ? RandomStreams.uniform(discovery, 1_000, 60_000)
                  : RandomStreams.uniform(discovery, 200_000, 3_000_000));
      boolean late = schedule.defect() == Defect.LATE_DRAIN && state != ServerState.READY;
      // a broker receives its notifications in the order of the changes
      long atUs = Math.max(time.now() + delay, lastNotificationUs.getOrDefault(broker.number, 0L));
      lastNotificationUs.put(broker.number, atUs);
      time.scheduleAt(
          atUs,
          () -> {
            if (broker.isCrashed()) {
              return;
            }
            line("broker " + broker.number + " is told " + store.name + " " + state);
            checker.endpointNotified(broker.number, store.name, state == ServerState.READY);
            Event event =
                usesDnsSource
                    ? new Event.SourceUpdated(DNS_SOURCE, false, List.of(claim(entry)))
                    : new Event.EndpointsUpdated(ServerListKind.DELTA, List.of(entry));
            time.scheduleAfter(late ? 2_000_000 : 0, () -> broker.accept(event));
          });
    }
  }

  void crash(SimulatedStore store) {
    line("store " + store.name + " dies");
    store.stop();
    failAttempts(store);
    notifyBrokers(store, ServerState.GONE, false);
  }

  /** Resets the attempts in flight at a store, except over partitioned links. */
  void failAttempts(SimulatedStore store) {
    for (int i = 0; i < outstanding.size(); i++) {
      SimulatedBroker broker = allBrokers.get(i);
      for (OutstandingAttempt attempt : List.copyOf(outstanding.get(i).values())) {
        if (attempt.store == store && !isPartitioned(broker, store)) {
          time.scheduleAfter(
              latency(broker, store), () -> end(attempt, AttemptOutcome.RESET, new float[0], ""));
        }
      }
    }
  }

  void restart(SimulatedStore store) {
    store.start();
    line("store " + store.name + " starts cold");
    notifyBrokers(store, ServerState.READY, false);
    for (Fault fault : schedule.faults()) {
      if (fault.fromUs() < 0 && fault.coldStartOf().equals(store.name)) {
        faults.apply(
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

  private long latency(SimulatedBroker broker, SimulatedStore store) {
    long route =
        store.zone == broker.number % 2
            ? SAME_ZONE_LATENCY_US
            : (long) RandomStreams.uniform(network, 700, 1_300);
    return route + (long) RandomStreams.exponential(network, 60);
  }

  private boolean isPartitioned(SimulatedBroker broker, SimulatedStore store) {
    for (int slot = 0; slot < BROKER_COUNT; slot++) {
      if (slots[slot] == broker && faults.isPartitioned("b" + slot + " " + store.name)) {
        return true;
      }
    }
    return false;
  }

  boolean injects(Defect defect, double share) {
    return schedule.defect() == defect && defects.nextDouble() < share;
  }

  private void handleEffect(SimulatedBroker broker, Effect effect) {
    if (effect instanceof Effect.EndpointChanged e) {
      if (e.endpoint().state() == ServerState.GONE) {
        routes.get(broker.number).remove(e.number());
      } else {
        stores.stream()
            .filter(store -> store.name.equals(e.endpoint().name()))
            .findFirst()
            .ifPresent(
                store ->
                    routes
                        .get(broker.number)
                        .put(e.number(), new Route(store, e.endpoint().port())));
      }
    } else if (effect instanceof Effect.SendRequest e) {
      Route route = routes.get(broker.number).get(e.endpoint());
      e.parts().forEach(part -> send(broker, route, part));
      broker.accept(new Event.AttemptsWritten(e.parts().size()));
    } else if (effect instanceof Effect.CancelAttempt e) {
      cancel(broker, e);
    } else if (effect instanceof Effect.SendHealthCheck e) {
      Route route = routes.get(broker.number).get(e.endpoint());
      if (route != null && !isPartitioned(broker, route.store())) {
        time.scheduleAfter(
            2 * latency(broker, route.store()) + 1_000,
            () ->
                broker.accept(
                    route.store().running
                        ? new Event.HealthCheckCompleted(
                            e.healthCheck(), AttemptOutcome.OK, route.store().report())
                        : new Event.HealthCheckCompleted(
                            e.healthCheck(), AttemptOutcome.CONNECT_FAILED, new float[0])));
      }
    } else if (effect instanceof Effect.SendResponse e) {
      clients.reply(broker, e.exchange(), e.response());
    } else if (effect instanceof Effect.LogMessage e) {
      line("broker " + broker.number + ": " + e.text());
      if (e.text().startsWith("fault")) {
        checker.reportViolation("a broker logged an internal fault", "broker " + broker.number);
      }
    }
  }

  /**
   * Cancels an attempt. The cancellation and its confirmation are each delayed by the latency of
   * the route. Neither arrives if the route is partitioned.
   */
  private void cancel(SimulatedBroker broker, Effect.CancelAttempt cancellation) {
    OutstandingAttempt attempt = outstanding.get(broker.number).remove(cancellation.attempt());
    if (attempt == null) {
      return;
    }
    attempt.ended = true;
    time.scheduleAfter(
        latency(broker, attempt.store),
        () -> {
          if (isPartitioned(broker, attempt.store)) {
            return;
          }
          checker.attemptEnded(
              broker.number, attempt.request.partId(), cancellation.attempt(), false);
          time.scheduleAfter(
              latency(broker, attempt.store),
              () -> broker.accept(new Event.AttemptReleased(cancellation.attempt())));
        });
  }

  private void send(SimulatedBroker broker, Route route, Effect.AttemptRequest part) {
    if (route == null) {
      time.scheduleAfter(
          SAME_ZONE_LATENCY_US,
          () ->
              broker.accept(
                  Event.AttemptCompleted.of(part.attempt(), AttemptOutcome.CONNECT_FAILED)));
      return;
    }
    SimulatedStore to = route.store();
    if (injects(Defect.WRONG_SHARD, 0.005)) {
      to = stores.get((stores.indexOf(to) + 1) % stores.size());
    }
    if (schedule.defect() == Defect.TO_THE_DRAINED) {
      int cell = to.cell;
      to =
          stores.stream()
              .filter(store -> store.cell == cell && store.draining)
              .findFirst()
              .orElse(to);
    }
    SimulatedStore store = to;
    OutstandingAttempt attempt = new OutstandingAttempt(broker, store, part);
    outstanding.get(broker.number).put(part.attempt(), attempt);
    String query = part.partId().substring(0, part.partId().indexOf('.'));
    QueryRequest request = clients.openRequest(query);
    line(
        "broker "
            + broker.number
            + " sends "
            + part.partId()
            + " to "
            + store.name
            + " attempt "
            + part.attempt());
    recordSent(attempt, request);
    if (injects(Defect.TWO_OUT, 0.002)) {
      recordSent(attempt, request);
    }
    if (request != null
        && request.queryClass().idempotency() == Idempotency.GUARDED
        && injects(Defect.AFTER_THE_WINDOW, 0.02)) {
      time.scheduleAfter(
          4_500_000,
          () -> {
            checker.attemptEnded(broker.number, part.partId(), part.attempt(), false);
            recordSent(attempt, request);
          });
    }
    if (isPartitioned(broker, store)) {
      return; // the partitioned link drops the attempt, which times out at the broker
    }
    boolean booking = request != null && request.queryClass().idempotency() == Idempotency.GUARDED;
    long workUs = (long) RandomStreams.logNormal(work, booking ? 67_000 : 84_000, 0.3) + 46_000 / 4;
    int port = route.port();
    time.scheduleAfter(
        latency(broker, store),
        () -> arrive(attempt, port, booking ? part.key() + "." + part.shard() : "", workUs));
  }

  private void recordSent(OutstandingAttempt attempt, QueryRequest query) {
    checker.attemptSent(
        attempt.broker.number,
        attempt.store,
        query,
        attempt.request.partId(),
        attempt.request.shard(),
        attempt.request.attempt(),
        SimulationSettings.CELL_COUNT);
  }

  private void arrive(OutstandingAttempt attempt, int port, String key, long workUs) {
    if (attempt.store.port != port) {
      answer(attempt, AttemptOutcome.CONNECT_FAILED, "");
      return;
    }
    SimulatedStore.Admission admission =
        attempt.store.submit(
            key,
            workUs,
            () -> {
              boolean corrupted =
                  faults.corruptShare() > 0 && network.nextDouble() < faults.corruptShare();
              answer(
                  attempt,
                  corrupted ? AttemptOutcome.RESET : AttemptOutcome.OK,
                  value(attempt.request.text(), attempt.request.shard()));
            });
    if (admission == SimulatedStore.Admission.DOWN) {
      answer(attempt, AttemptOutcome.CONNECT_FAILED, "");
    } else if (admission == SimulatedStore.Admission.REJECTED) {
      answer(attempt, AttemptOutcome.FULL, "");
    }
  }

  private void answer(OutstandingAttempt attempt, AttemptOutcome outcome, String value) {
    if (isPartitioned(attempt.broker, attempt.store)) {
      return;
    }
    float[] report =
        faults.reportDelayUs() > 0 || outcome == AttemptOutcome.CONNECT_FAILED
            ? new float[0]
            : attempt.store.report();
    time.scheduleAfter(
        latency(attempt.broker, attempt.store), () -> end(attempt, outcome, report, value));
  }

  private void end(
      OutstandingAttempt attempt, AttemptOutcome outcome, float[] report, String value) {
    if (attempt.ended || attempt.broker.isCrashed()) {
      return;
    }
    attempt.ended = true;
    outstanding.get(attempt.broker.number).remove(attempt.request.attempt());
    line(
        "broker "
            + attempt.broker.number
            + " has "
            + attempt.request.partId()
            + " "
            + outcome
            + " of "
            + attempt.store.name);
    checker.attemptEnded(
        attempt.broker.number,
        attempt.request.partId(),
        attempt.request.attempt(),
        outcome.neverExecuted());
    if (injects(Defect.MANY_ATTEMPTS, 0.002)) {
      for (int i = 0; i < 4; i++) {
        checker.attemptSent(
            attempt.broker.number,
            attempt.store,
            null,
            attempt.request.partId(),
            attempt.request.shard(),
            -i,
            SimulationSettings.CELL_COUNT);
        checker.attemptEnded(
            attempt.broker.number,
            attempt.request.partId(),
            -1 - (long) (defects.nextDouble() * 1e15),
            false);
      }
    }
    attempt.broker.accept(
        new Event.AttemptCompleted(attempt.request.attempt(), outcome, report, value));
  }
}
