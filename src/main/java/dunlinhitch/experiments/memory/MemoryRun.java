package dunlinhitch.experiments.memory;

import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.flood.ClientScript;
import dunlinhitch.experiments.flood.Crowd;
import dunlinhitch.experiments.flood.FairClient;
import dunlinhitch.experiments.flood.RequestGrammar;
import dunlinhitch.experiments.testbed.BrokerLaunch;
import dunlinhitch.experiments.testbed.TestBed;
import dunlinhitch.experiments.testbed.TestBedPlan;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * One broker process on one core, started by the deploy file's command with limits in its settings,
 * three usual clients, and one crowd after the other.
 */
public final class MemoryRun implements AutoCloseable {
  private static final String QUERY_CLASS = "free-search";
  private static final int SHARDS = 2;
  private static final int USUAL_CLIENTS = 3;
  private static final int USUAL_TIME_MS = 1_000;
  private static final int ANSWER_DELAY_MS = 2;

  /** Time for which the broker runs in a crowd until it is killed. */
  private static final int KILL_AFTER_MS = 2_000;

  private final MemoryPlan plan;
  private final TestBed testBed;
  private final TestBed.Node node;
  private final SplittableRandom random;
  private int phases;

  MemoryRun(MemoryPlan plan, Path directory) throws Exception {
    this.plan = plan;
    random = new SplittableRandom(plan.seed());
    testBed =
        new TestBed(
            directory,
            plan.seed(),
            new TestBedPlan(
                1,
                SHARDS,
                1,
                TestBedPlan.STANDARD_SETTINGS,
                null,
                MemoryRun::createStore,
                BrokerLaunch.deployed(
                    List.of("taskset", "-c", "0"), plan.sockets(), plan.memoryMb())));
    node = testBed.nodes().get(0);
  }

  private static FrameStore createStore(Vertx vertx, String name) throws Exception {
    FrameStore store = new FrameStore(vertx, name);
    store.answerDelayMs = ANSWER_DELAY_MS;
    store.script =
        part -> {
          store.receivedParts.clear(); // large queries would fill the memory of this process
          return FrameStore.Behavior.GOOD;
        };
    return store;
  }

  /**
   * Runs all crowds of a plan against one process, then all shapes mixed against a process that is
   * killed in the middle and started again while the crowd keeps connecting.
   *
   * @param results receives each crowd's result
   */
  static void play(MemoryPlan plan, Path directory, Consumer<MemoryReport> results)
      throws Exception {
    try (MemoryRun run = new MemoryRun(plan, directory)) {
      run.start();
      for (CrowdShape shape : plan.shapes()) {
        results.accept(run.beside(shape.name(), run.scripts(shape)));
      }
      results.accept(run.beside("mixed", run.mixedScripts()));
      run.node.kill();
      results.accept(run.startedInCrowd());
    }
  }

  private Supplier<ClientScript> scripts(CrowdShape shape) {
    phases++;
    CrowdRequests requests = new CrowdRequests("c" + phases + "-", QUERY_CLASS);
    return () -> shape.next(requests);
  }

  private Supplier<ClientScript> mixedScripts() {
    phases++;
    CrowdRequests requests = new CrowdRequests("m" + phases + "-", QUERY_CLASS);
    CrowdShape[] shapes = CrowdShape.values();
    SplittableRandom draws = random.split();
    return () -> shapes[draws.nextInt(shapes.length)].next(requests);
  }

  private Crowd crowd(Supplier<ClientScript> scripts) {
    return new Crowd(
        node.httpPort,
        plan.crowdSize(),
        scripts,
        plan.minPauseMs(),
        plan.maxPauseMs(),
        random.nextLong());
  }

  private MemoryReport beside(String name, Supplier<ClientScript> scripts) throws Exception {
    List<FairClient> clients = startUsualClients();
    try (ProcessMemory memory = new ProcessMemory(node.processId(), node.scratchFolder());
        Crowd crowd = crowd(scripts)) {
      memory.start();
      crowd.start();
      TimeUnit.SECONDS.sleep(plan.seconds());
      return report(name, memory, clients, crowd);
    }
  }

  /** The crowd connects before the process listens, and again as soon as the process is killed. */
  private MemoryReport startedInCrowd() throws Exception {
    try (Crowd crowd = crowd(mixedScripts())) {
      crowd.start();
      start();
      TimeUnit.MILLISECONDS.sleep(KILL_AFTER_MS);
      node.kill();
      start();
      List<FairClient> clients = startUsualClients();
      try (ProcessMemory memory = new ProcessMemory(node.processId(), node.scratchFolder())) {
        memory.start();
        TimeUnit.SECONDS.sleep(plan.seconds());
        return report("mixed, at a start", memory, clients, crowd);
      }
    }
  }

  private void start() throws Exception {
    testBed.start(testBed.nodes());
  }

  private List<FairClient> startUsualClients() {
    List<FairClient> clients = new ArrayList<>();
    for (int i = 0; i < USUAL_CLIENTS; i++) {
      String ids = "u" + phases + "-" + i + "-";
      RequestGrammar grammar = new RequestGrammar(plan.seed() + i, ids, QUERY_CLASS, SHARDS);
      clients.add(new FairClient(node.httpPort, grammar, USUAL_TIME_MS));
    }
    clients.forEach(FairClient::start);
    return clients;
  }

  private MemoryReport report(
      String name, ProcessMemory memory, List<FairClient> clients, Crowd crowd)
      throws InterruptedException {
    int asked = 0;
    int served = 0;
    for (FairClient client : clients) {
      for (FairClient.Outcome outcome : client.end()) {
        asked++;
        served += outcome.end() == FairClient.End.SERVED ? 1 : 0;
      }
    }
    return new MemoryReport(
        name,
        memory.takePeakMb(),
        asked,
        served,
        crowd.connections(),
        node.isUp(),
        node.suspiciousLines());
  }

  @Override
  public void close() {
    testBed.close();
  }
}
