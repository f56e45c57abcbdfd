package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.balancer.settings.Prices;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Rules;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.balancer.settings.ShardLayout;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Simulates many brokers that do not communicate, each a load balancer with its own seed and
 * queries, and servers with one core and one queue. Some servers start during the simulation;
 * {@link SlowStartLoad} measures the work that all brokers together send to them.
 */
final class SlowStartSimulation {
  private static final int CELLS = 6;
  private static final int SERVERS_PER_CELL = 3;
  private static final int SHARDS = 24;
  private static final int PARTS = 4;
  private static final long SECOND_US = 1_000_000;

  /** When the servers start. Before that, brokers build up latency estimates. */
  private static final long START_US = 8 * SECOND_US;

  private static final long SLOW_START_US = 10 * SECOND_US;
  private static final long NETWORK_US = 300;

  private final SlowStartScenario scenario;
  private final int brokerCount;
  private final SlowStartSite.Workload workload;
  private final SlowStartSite.Rule rule;
  private final SplittableRandom random;
  private final VirtualClock clock = new VirtualClock();
  private final List<SimulatedServer> servers = new ArrayList<>();
  private final List<SimulatedBroker> brokers = new ArrayList<>();
  private final SlowStartLoad load;

  SlowStartSimulation(SlowStartScenario scenario, int brokerCount, long seed, SlowStartSite site) {
    this.scenario = scenario;
    this.brokerCount = brokerCount;
    workload = site.workload();
    rule = site.rule();
    load = new SlowStartLoad(site);
    random = new SplittableRandom(seed);
  }

  /** Runs the scenario to its end. */
  SlowStartSimulation run() {
    double meanWorkUs = workload.meanWorkUs();
    for (int i = 0; i < CELLS * SERVERS_PER_CELL; i++) {
      servers.add(new SimulatedServer(i + 1, i % CELLS));
    }
    double partsPerUs =
        workload.load() * CELLS * SERVERS_PER_CELL / (meanWorkUs + workload.callUs());
    addBrokers(partsPerUs);
    clock.schedule(START_US, this::startServers);
    clock.runUntil(START_US + SLOW_START_US);
    load.measure(servers, SLOW_START_US);
    return this;
  }

  /** The work sent to the servers; valid after {@link #run}. */
  SlowStartLoad load() {
    return load;
  }

  /** Fraction of the queries during slow start that were answered. */
  double answeredShare() {
    return brokers.stream().mapToInt(broker -> broker.answers).sum()
        / (double) brokers.stream().mapToInt(broker -> broker.queries).sum();
  }

  /**
   * Adds the brokers with log-normally distributed query rates, so that the rates of some brokers
   * are several times the mean.
   */
  private void addBrokers(double partsPerUs) {
    double[] weights = new double[brokerCount];
    double sum = 0;
    for (int i = 0; i < brokerCount; i++) {
      weights[i] = Math.exp(0.6 * nextGaussian());
      sum += weights[i];
    }
    for (int i = 0; i < brokerCount; i++) {
      SimulatedBroker broker = new SimulatedBroker(PARTS * sum / weights[i] / partsPerUs);
      brokers.add(broker);
      clock.schedule(
          random.nextLong(SECOND_US),
          () -> {
            broker.start();
            broker.receiveQuery();
          });
    }
  }

  private void startServers() {
    for (SimulatedServer server : servers) {
      boolean starts = scenario.oneServerStarts ? server.id == 1 : isInStartingHalf(server);
      if (starts) {
        server.startedUs = clock.nowUs();
        notifyBrokers(server);
      }
    }
    scheduleServerChanges();
    scheduleBrokerRestarts();
  }

  private static boolean isInStartingHalf(SimulatedServer server) {
    return server.cell == 0 || (server.id % 2 == 1 && server.cell != 2);
  }

  private void scheduleServerChanges() {
    if (scenario == SlowStartScenario.FLAPPING) {
      SimulatedServer flapping = servers.get(0);
      clock.schedule(clock.nowUs() + SECOND_US, () -> setState(flapping, ServerState.DRAINING));
      clock.schedule(clock.nowUs() + 4 * SECOND_US, () -> setState(flapping, ServerState.READY));
    }
    if (scenario == SlowStartScenario.LEFT_ALONE || scenario == SlowStartScenario.FLAPPING) {
      clock.schedule(clock.nowUs() + 3 * SECOND_US, this::drainOthersOfFirstCell);
    }
  }

  private void drainOthersOfFirstCell() {
    for (SimulatedServer server : servers) {
      if (server.cell == 0 && server.id != 1) {
        setState(server, ServerState.DRAINING);
      }
    }
  }

  private void scheduleBrokerRestarts() {
    if (scenario == SlowStartScenario.BROKERS_KILLED) {
      List<SimulatedBroker> killed = brokers.subList(0, brokerCount * 7 / 10);
      clock.schedule(clock.nowUs() + SECOND_US, () -> killed.forEach(SimulatedBroker::start));
    }
    if (scenario == SlowStartScenario.ROLLING_RESTART) {
      for (int i = 0; i < 20; i++) {
        int first = i % 10;
        clock.schedule(clock.nowUs() + i * SECOND_US / 2, () -> restartEveryTenth(first));
      }
    }
  }

  private void restartEveryTenth(int first) {
    for (int i = first; i < brokerCount; i += 10) {
      brokers.get(i).start();
    }
  }

  private void setState(SimulatedServer server, ServerState state) {
    server.state = state;
    notifyBrokers(server);
  }

  private void notifyBrokers(SimulatedServer server) {
    ServerEntry entry = server.entry();
    for (SimulatedBroker broker : brokers) {
      clock.schedule(
          clock.nowUs() + random.nextLong(SECOND_US / 2), () -> broker.update(server, entry));
    }
  }

  private boolean isSlowStart() {
    return clock.nowUs() >= START_US && clock.nowUs() < START_US + SLOW_START_US;
  }

  private double nextGaussian() {
    return Math.sqrt(-2 * Math.log(1 - random.nextDouble()))
        * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private Settings settings() {
    List<QueryClass> classes = new ArrayList<>();
    for (int i = 0; i < workload.workUs().length; i++) {
      classes.add(
          new QueryClass(
              "k" + i,
              SECOND_US,
              0,
              3 * SECOND_US,
              Idempotency.FREE,
              0.1,
              0,
              1,
              false,
              0,
              0.7,
              1,
              0.9));
    }
    return new Settings(
        brokerCount,
        List.of("a"),
        0,
        5_000,
        classes,
        List.of(),
        0.1,
        new ShardLayout(CELLS, 1, SHARDS, 1, workload.callUs()),
        new Limits(4, 1000, true, true, false, true, 500_000, 250_000, 32, 15 * SECOND_US),
        new Rules(
            20_000,
            10 * SECOND_US,
            -1,
            0,
            10 * SECOND_US,
            rule.initialShare(),
            SLOW_START_US,
            rule.overloadFactor(),
            rule.fallUs(),
            250_000),
        new Prices(0, 0.012, 0, 0),
        false,
        true,
        true,
        List.of(LoadReportField.OUTSTANDING),
        false);
  }

  /**
   * An attempt that was sent and has not ended.
   *
   * @param incarnation incarnation of the broker that sent the attempt
   */
  private record Call(
      SimulatedBroker broker, int incarnation, int part, int attempt, double workUs) {}

  /** A server of one core and one queue, slower during slow start. */
  private final class SimulatedServer implements SlowStartLoad.MeasuredServer {
    private final int id;
    private final int cell;
    private final ArrayDeque<Call> waiting = new ArrayDeque<>();
    private final List<SlowStartLoad.Arrival> arrivals = new ArrayList<>();
    private ServerState state = ServerState.READY;
    private long startedUs;
    private boolean busy;

    SimulatedServer(int id, int cell) {
      this.id = id;
      this.cell = cell;
    }

    @Override
    public List<SlowStartLoad.Arrival> arrivals() {
      return arrivals;
    }

    @Override
    public boolean hasStarted() {
      return startedUs != 0;
    }

    @Override
    public boolean isReady() {
      return state == ServerState.READY;
    }

    @Override
    public double capacity(long atUs) {
      double initial = rule.initialShare();
      return startedUs == 0
          ? 1
          : Math.min(1, initial + (1 - initial) * Math.max(0, atUs - startedUs) / SLOW_START_US);
    }

    void receive(Call call) {
      waiting.add(call);
      serveNext();
    }

    private void serveNext() {
      if (busy || waiting.isEmpty()) {
        return;
      }
      Call call = waiting.remove();
      if (call.broker.hasAbandoned(call)) {
        serveNext();
        return;
      }
      busy = true;
      double workUs = call.workUs + workload.callUs();
      clock.schedule(clock.nowUs() + (long) (workUs / capacity(clock.nowUs())), () -> answer(call));
    }

    private void answer(Call call) {
      busy = false;
      call.broker.complete(call, AttemptOutcome.OK, waiting.size());
      serveNext();
    }

    private ServerEntry entry() {
      return new ServerEntry(id, 0, cell, state, 1, startedUs);
    }
  }

  /** A broker with its own queries, which can be restarted. */
  private final class SimulatedBroker implements BalancerActions {
    private final double meanIntervalUs;
    private final Set<SimulatedServer> notifiedStarts = new HashSet<>();
    private final Map<Integer, Integer> attempts = new HashMap<>();
    private final Map<Integer, Integer> classesOfParts = new HashMap<>();
    private final Map<Integer, Call> inFlight = new HashMap<>();
    private LoadBalancer loadBalancer;
    private int incarnation;
    private int nextId;
    private int queries;
    private int answers;

    SimulatedBroker(double meanIntervalUs) {
      this.meanIntervalUs = meanIntervalUs;
    }

    void start() {
      incarnation++;
      inFlight.clear();
      loadBalancer = new LoadBalancer(settings(), random.nextLong(), this);
      servers.stream().filter(SimulatedServer::hasStarted).forEach(notifiedStarts::add);
      handle(new BalancerEvent.Started());
      List<ServerEntry> entries = servers.stream().map(SimulatedServer::entry).toList();
      handle(new BalancerEvent.ServerListUpdated(ServerListKind.FULL, entries));
    }

    private void handle(BalancerEvent event) {
      loadBalancer.on(clock.nowUs(), event);
    }

    void update(SimulatedServer server, ServerEntry entry) {
      notifiedStarts.add(server);
      handle(new BalancerEvent.ServerListUpdated(ServerListKind.DELTA, List.of(entry)));
    }

    void receiveQuery() {
      long nowUs = clock.nowUs();
      double intervalUs = -Math.log(1 - random.nextDouble()) * meanIntervalUs / (isSurge() ? 4 : 1);
      clock.schedule(nowUs + (long) intervalUs, this::receiveQuery);
      int queryClass = drawClass();
      int query = nextId;
      nextId++;
      queries += isSlowStart() ? 1 : 0;
      int shard = random.nextInt(SHARDS);
      handle(
          new BalancerEvent.QueryArrived(
              query, query, queryClass, -1, PARTS, nowUs + 3 * SECOND_US, 0, false));
      for (int i = 0; i < PARTS; i++) {
        int part = nextId;
        nextId++;
        classesOfParts.put(part, queryClass);
        handle(
            new BalancerEvent.PartArrived(part, query, (shard + i * 5) % SHARDS, 1.0 / PARTS, 0));
      }
    }

    private boolean isSurge() {
      long nowUs = clock.nowUs();
      return scenario == SlowStartScenario.SURGE
          && nowUs >= START_US + 3 * SECOND_US
          && nowUs < START_US + 6 * SECOND_US;
    }

    private int drawClass() {
      double[] shares = workload.classShares();
      int queryClass = 0;
      double remainder = random.nextDouble() - shares[0];
      while (remainder > 0 && queryClass < shares.length - 1) {
        queryClass++;
        remainder -= shares[queryClass];
      }
      return queryClass;
    }

    // The check is for this call itself; an equal call in flight must not match.
    @SuppressWarnings("ReferenceEquality")
    boolean hasAbandoned(Call call) {
      return call.incarnation != incarnation || !call.equals(inFlight.get(call.part));
    }

    void complete(Call call, AttemptOutcome outcome, float... report) {
      if (hasAbandoned(call)) {
        return;
      }
      inFlight.remove(call.part);
      boolean settled = outcome == AttemptOutcome.OK;
      handle(
          new BalancerEvent.AttemptCompleted(
              call.part, call.attempt, outcome, 0, 0, settled, report));
    }

    @Override
    public void send(int part, int serverId, long dueUs) {
      SimulatedServer server = servers.get(serverId - 1);
      double meanUs = workload.workUs()[classesOfParts.get(part)];
      double sigma = Math.sqrt(Math.log(1 + workload.spread() * workload.spread()));
      double workUs = meanUs * Math.exp(sigma * nextGaussian() - sigma * sigma / 2);
      int attempt = attempts.merge(part, 1, Integer::sum) - 1;
      Call call = new Call(this, incarnation, part, attempt, workUs);
      inFlight.put(part, call);
      if (clock.nowUs() >= START_US) {
        boolean notified = notifiedStarts.contains(server);
        server.arrivals.add(new SlowStartLoad.Arrival(clock.nowUs(), meanUs, notified));
      }
      clock.schedule(clock.nowUs() + NETWORK_US, () -> server.receive(call));
      clock.schedule(dueUs, () -> complete(call, AttemptOutcome.TIMEOUT));
    }

    @Override
    public void answer(int query, boolean complete) {
      answers += isSlowStart() ? 1 : 0;
    }

    @Override
    public void reject(int query, long retryAfterUs) {}

    @Override
    public void fail(int query) {}

    @Override
    public void cancel(int part, int attempt) {
      Call call = inFlight.get(part);
      clock.schedule(clock.nowUs() + 1, () -> complete(call, AttemptOutcome.CANCELLED));
    }

    @Override
    public void closeIdleConnections(int server) {}

    @Override
    public void sendHealthCheck(int serverId) {
      long latencyUs = 2 * NETWORK_US;
      scheduleOwn(clock.nowUs() + latencyUs, () -> completeHealthCheck(serverId, latencyUs));
    }

    private void completeHealthCheck(int serverId, long latencyUs) {
      float[] report = {servers.get(serverId - 1).waiting.size()};
      handle(
          new BalancerEvent.HealthCheckCompleted(serverId, AttemptOutcome.OK, latencyUs, report));
    }

    @Override
    public void scheduleTimer(long token, long dueUs) {
      scheduleOwn(
          Math.max(clock.nowUs() + 1, dueUs), () -> handle(new BalancerEvent.TimerFired(token)));
    }

    /** Schedules an action that is dropped if the broker has been restarted in the meantime. */
    private void scheduleOwn(long atUs, Runnable action) {
      int scheduledIn = incarnation;
      clock.schedule(
          atUs,
          () -> {
            if (incarnation == scheduledIn) {
              action.run();
            }
          });
    }

    @Override
    public void subscribeToServerList() {}

    @Override
    public void log(String text) {}
  }
}
