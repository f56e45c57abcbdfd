package dunlinhitch.experiments.soak;

import dunlinhitch.experiments.flood.Crowd;
import dunlinhitch.experiments.flood.FloodClient;
import dunlinhitch.experiments.flood.RequestGrammar;
import dunlinhitch.experiments.flood.Trouble;
import dunlinhitch.experiments.testbed.NetworkFaults;
import dunlinhitch.experiments.testbed.TestBed;
import dunlinhitch.experiments.testbed.TestBedPlan;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Executes one plan: starts the processes, generates the load and injects the faults. An instance
 * executes only one plan.
 */
public final class SoakRun {
  /**
   * The result of a run.
   *
   * @param observations the observations of clients, stores and the network, the only input of the
   *     checker
   * @param logLines the log lines of the brokers, each preceded by the name of its broker
   */
  public record Result(List<Observation> observations, List<String> logLines) {
    /** Creates a result with immutable copies of the lists. */
    public Result {
      observations = List.copyOf(observations);
      logLines = List.copyOf(logLines);
    }
  }

  private static final String DISCOVERY = "d";
  private static final int FLOODING_CLIENTS = 3;
  private static final int CROWD_SIZE = 150;
  private static final int SLOW_LINK_MS = 1;
  private static final int ANSWER_DELAY_MS = 12;

  private final SoakPlan plan;
  private final Observations observations = new Observations();
  private final TestBed testBed;
  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

  private final List<Exception> failures = new CopyOnWriteArrayList<>();

  /** Brokers for which the bytes from discovery are held back. */
  private final Set<String> brokersWithHeldDiscovery = new HashSet<>();

  private SoakRun(SoakPlan plan, Path directory) throws Exception {
    this.plan = plan;
    testBed =
        new TestBed(
            directory,
            plan.seed(),
            new TestBedPlan(
                plan.brokers(),
                SoakPlan.CELLS,
                plan.storesPerCell(),
                plan.settings(),
                null,
                (vertx, name) -> new SoakStore(vertx, name, observations)));
  }

  /**
   * Executes a plan until its end.
   *
   * @param directory parent of the working directories of the brokers
   * @throws IllegalStateException if a fault could not be started or ended
   */
  public static Result play(SoakPlan plan, Path directory) throws Exception {
    SoakRun run = new SoakRun(plan, directory);
    try (run.testBed) {
      return run.play();
    } finally {
      run.executor.shutdownNow();
    }
  }

  private Result play() throws Exception {
    testBed.stores().forEach(store -> store.answerDelayMs = ANSWER_DELAY_MS);
    testBed.onLoop(
        () -> {
          testBed.nodes().forEach(this::tapRequests);
          return null;
        });
    testBed.start(testBed.nodes());
    List<SoakClients> clients = new ArrayList<>();
    for (int number = 0; number < plan.brokers(); number++) {
      TestBed.Node node = testBed.nodes().get(number);
      clients.add(new SoakClients(plan, number, node.httpPort, observations, executor));
    }
    clients.forEach(SoakClients::start);
    for (SoakFault fault : plan.faults()) {
      schedule(() -> begin(fault), fault.atMs());
    }
    TimeUnit.SECONDS.sleep(plan.seconds());
    // After the shutdown, the executor starts no requests or faults, but still runs the tasks that
    // end faults in progress.
    executor.shutdown();
    executor.awaitTermination(2L * plan.deadlineMs(), TimeUnit.MILLISECONDS);
    for (SoakClients brokerClients : clients) {
      brokerClients
          .allEnded()
          .handle((all, failure) -> null)
          .completeOnTimeout(null, 2L * plan.deadlineMs(), TimeUnit.MILLISECONDS)
          .join();
    }
    if (!failures.isEmpty()) {
      throw new IllegalStateException(
          failures.size()
              + " fault steps failed, so that faults did not start or end as planned; first failure: "
              + failures.get(0),
          failures.get(0));
    }
    List<String> logLines =
        testBed.nodes().stream()
            .flatMap(node -> node.lines().stream().map(line -> node.name + ": " + line))
            .toList();
    return new Result(observations.list(), logLines);
  }

  private void tapRequests(TestBed.Node node) {
    for (var store : testBed.stores()) {
      node.proxyTo(store.name)
          .observeRequests(
              () ->
                  new CallFrameParser(
                          (part, timeoutMs) ->
                              observations.add(
                                  atUs ->
                                      new Observation.AttemptSent(
                                          atUs, part, node.name, store.name, timeoutMs * 1_000)))
                      ::read);
    }
  }

  private void begin(SoakFault fault) throws Exception {
    TestBed.Node node = testBed.nodes().get(fault.broker());
    SoakStore store = (SoakStore) testBed.stores().get(fault.store());
    switch (fault.kind()) {
      case REQUESTS_HELD, ANSWERS_HELD, LINK_HELD, LINK_SLOW, LINK_RESET ->
          beginLinkFault(fault, node, store);
      case STORE_HANGS, STORE_FROZEN, STORE_FULL, STORE_DRAINS -> beginStoreFault(fault, store);
      case DISCOVERY_HELD -> holdDiscovery(fault, node);
      case RELOAD, BROKER_PAUSED -> beginProcessFault(fault, node);
      case FLOOD -> beginFlood(fault, node);
      case CROWD -> beginCrowd(fault, node);
    }
  }

  private void beginLinkFault(SoakFault fault, TestBed.Node node, SoakStore store)
      throws Exception {
    switch (fault.kind()) {
      case REQUESTS_HELD -> hold(fault, node, store, true, false);
      case ANSWERS_HELD -> hold(fault, node, store, false, true);
      case LINK_HELD -> hold(fault, node, store, true, true);
      case LINK_SLOW -> slow(fault, node, store);
      default -> onLoop(() -> node.proxyTo(store.name).reset());
    }
  }

  private void beginStoreFault(SoakFault fault, SoakStore store) throws Exception {
    switch (fault.kind()) {
      case STORE_HANGS -> during(fault, store::setHanging);
      case STORE_FROZEN -> during(fault, store::setFrozen);
      case STORE_FULL -> during(fault, store::setFull);
      default -> drain(fault, store);
    }
  }

  private static void beginProcessFault(SoakFault fault, TestBed.Node node) throws Exception {
    if (fault.kind() == SoakFault.Kind.RELOAD) {
      node.rewriteConfiguration();
      node.signal("HUP");
      return;
    }
    node.signal("STOP");
    TimeUnit.MILLISECONDS.sleep(fault.forMs());
    node.signal("CONT");
  }

  private void beginFlood(SoakFault fault, TestBed.Node node) {
    for (int i = 0; i < FLOODING_CLIENTS; i++) {
      FloodClient client =
          new FloodClient(
              node.httpPort, Trouble.FLOOD_MIXED, grammar(fault, "flood" + fault.atMs() + "c" + i));
      client.start();
      schedule(client::close, fault.forMs());
    }
  }

  private void beginCrowd(SoakFault fault, TestBed.Node node) {
    Trouble trouble =
        fault.store() % 2 == 0 ? Trouble.CROWD_FIELDS_AND_BODY : Trouble.CROWD_IN_BODY;
    RequestGrammar grammar = grammar(fault, "crowd" + fault.atMs());
    Crowd crowd = new Crowd(node.httpPort, CROWD_SIZE, () -> grammar.incomplete(trouble));
    crowd.start();
    schedule(crowd::close, fault.forMs());
  }

  private RequestGrammar grammar(SoakFault fault, String idPrefix) {
    return new RequestGrammar(
        plan.seed() + fault.atMs(), idPrefix + "n", SoakPlan.SEARCH, SoakPlan.CELLS);
  }

  private interface Switch {
    void set(boolean on);
  }

  private void during(SoakFault fault, Switch state) throws Exception {
    onLoop(() -> state.set(true));
    scheduleEnd(fault, () -> state.set(false));
  }

  private void hold(
      SoakFault fault, TestBed.Node node, SoakStore store, boolean requests, boolean answers) {
    NetworkFaults.Rule rule =
        testBed.links.add(
            (from, to) ->
                (requests && from.equals(node.name) && to.equals(store.name))
                    || (answers && from.equals(store.name) && to.equals(node.name)),
            NetworkFaults.Harm.HELD,
            0,
            1);
    scheduleEnd(
        fault,
        () -> {
          testBed.links.remove(rule);
          node.proxyTo(store.name).release();
        });
  }

  private void slow(SoakFault fault, TestBed.Node node, SoakStore store) {
    NetworkFaults.Rule rule =
        testBed.links.add(
            (from, to) -> from.equals(node.name) && to.equals(store.name),
            NetworkFaults.Harm.SLOW,
            SLOW_LINK_MS,
            1);
    scheduleEnd(fault, () -> testBed.links.remove(rule));
  }

  private void drain(SoakFault fault, SoakStore store) throws Exception {
    setReady(store, false);
    schedule(() -> setReady(store, true), fault.forMs());
  }

  /**
   * Changes the lifecycle of a store in discovery and records the notification of each broker. No
   * drain is recorded for a broker whose bytes from discovery are held back, because the broker has
   * not received the notification.
   */
  private void setReady(SoakStore store, boolean ready) throws Exception {
    testBed.change(store.name, ready ? "ready" : "draining");
    for (TestBed.Node node : testBed.nodes()) {
      if (ready || !brokersWithHeldDiscovery.contains(node.name)) {
        observations.add(atUs -> new Observation.EndpointTold(atUs, node.name, store.name, ready));
      }
    }
  }

  private void holdDiscovery(SoakFault fault, TestBed.Node node) {
    brokersWithHeldDiscovery.add(node.name);
    NetworkFaults.Rule rule =
        testBed.links.add(
            (from, to) -> from.equals(DISCOVERY) && to.equals(node.name),
            NetworkFaults.Harm.HELD,
            0,
            1);
    schedule(
        () -> {
          brokersWithHeldDiscovery.remove(node.name);
          testBed.links.remove(rule);
          onLoop(node::releaseDiscovery);
        },
        fault.forMs());
  }

  private void scheduleEnd(SoakFault fault, Runnable task) {
    schedule(() -> onLoop(task), fault.forMs());
  }

  private interface Step {
    void run() throws Exception;
  }

  /**
   * Schedules a step of a fault. An exception in the step makes the run fail, because the fault did
   * not start or did not end as planned.
   */
  private void schedule(Step step, int delayMs) {
    var unused =
        executor.schedule(
            () -> {
              try {
                step.run();
              } catch (Exception e) {
                failures.add(e);
              }
            },
            delayMs,
            TimeUnit.MILLISECONDS);
  }

  private void onLoop(Runnable task) throws Exception {
    testBed.onLoop(
        () -> {
          task.run();
          return null;
        });
  }
}
