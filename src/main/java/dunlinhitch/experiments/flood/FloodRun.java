package dunlinhitch.experiments.flood;

import dunlinhitch.experiments.fakes.FrameStore;
import dunlinhitch.experiments.testbed.BrokerLaunch;
import dunlinhitch.experiments.testbed.ProcessStatus;
import dunlinhitch.experiments.testbed.TestBed;
import dunlinhitch.experiments.testbed.TestBedPlan;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * One broker process on one core with the options of the deploy file, two fair clients, and clients
 * that misbehave for some seconds.
 */
public final class FloodRun {
  /** Number of connections of a crowd. */
  private static final int CROWD_SIZE = 400;

  private static final int FAIR_CLIENTS = 2;
  private static final int FAIR_TIME_MS = 300;
  private static final int SHARDS = 2;
  private static final String QUERY_CLASS = "free-search";

  /** Time before the trouble starts and after it ends, in milliseconds. */
  private static final int QUIET_MS = 500;

  private static final int SOCKETS = 1024;
  private static final int ANSWER_DELAY_MS = 2;

  /** Options of the JVM, as the deploy file's command sets them for a limit of 128 MB. */
  private static final List<String> JVM_OPTIONS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-XX:CICompilerCount=1",
          "-Xshare:auto",
          "-Xms16m",
          "-Xmx38m",
          "-Xss512k",
          "-XX:MaxMetaspaceSize=48m",
          "-XX:ReservedCodeCacheSize=10m",
          "-XX:MaxDirectMemorySize=10m",
          "-XX:-UsePerfData",
          "-Dio.netty.allocator.numDirectArenas=1",
          "-Dio.netty.allocator.numHeapArenas=1",
          "--add-opens=java.base/java.nio=ALL-UNNAMED");

  private final Trouble trouble;
  private final int offenders;
  private final long seed;
  private final TestBed testBed;
  private final List<FloodClient> floods = new ArrayList<>();
  private Crowd crowd;

  private FloodRun(Trouble trouble, int offenders, long seed, Path directory) throws Exception {
    this.trouble = trouble;
    this.offenders = offenders;
    this.seed = seed;
    testBed =
        new TestBed(
            directory,
            seed,
            new TestBedPlan(
                1,
                2,
                1,
                TestBedPlan.STANDARD_SETTINGS,
                null,
                FloodRun::createStore,
                new BrokerLaunch(List.of("taskset", "-c", "0"), JVM_OPTIONS, true, SOCKETS)));
  }

  private static FrameStore createStore(io.vertx.core.Vertx vertx, String name) throws Exception {
    FrameStore store = new FrameStore(vertx, name);
    store.answerDelayMs = ANSWER_DELAY_MS;
    return store;
  }

  /**
   * Runs one trouble.
   *
   * @param offenders number of clients that flood the broker
   * @param seconds duration of the trouble
   * @param directory parent of the working directory of the broker
   */
  public static FloodReport play(
      Trouble trouble, int offenders, int seconds, long seed, Path directory) throws Exception {
    FloodRun run = new FloodRun(trouble, offenders, seed, directory);
    try (run.testBed) {
      run.testBed.start(run.testBed.nodes());
      return run.measure(seconds);
    }
  }

  private FloodReport measure(int seconds) throws Exception {
    TestBed.Node node = testBed.nodes().get(0);
    List<FairClient> fair = new ArrayList<>();
    for (int i = 0; i < FAIR_CLIENTS; i++) {
      fair.add(
          new FairClient(
              node.httpPort,
              new RequestGrammar(seed + i, "fair" + i + "-", QUERY_CLASS, SHARDS),
              FAIR_TIME_MS));
    }
    PageProbe probe =
        new PageProbe(
            List.of(
                new PageProbe.Page(node.httpPort, "/health/ready"),
                new PageProbe.Page(node.adminPort, "/ready"),
                new PageProbe.Page(node.adminPort, "/metrics")));
    fair.forEach(FairClient::start);
    probe.start();
    TimeUnit.MILLISECONDS.sleep(QUIET_MS);
    startTrouble(node);
    TimeUnit.SECONDS.sleep(seconds);
    long longestPageMs = probe.end();
    stopTrouble();
    TimeUnit.MILLISECONDS.sleep(QUIET_MS);
    List<FairClient.Outcome> outcomes = new ArrayList<>();
    for (FairClient client : fair) {
      outcomes.addAll(client.end());
    }
    return report(node, outcomes, longestPageMs);
  }

  private void startTrouble(TestBed.Node node) {
    if (trouble == Trouble.NONE) {
      return;
    }
    if (trouble.isCrowd()) {
      RequestGrammar grammar = new RequestGrammar(seed, "c", QUERY_CLASS, SHARDS);
      crowd = new Crowd(node.httpPort, CROWD_SIZE, () -> grammar.incomplete(trouble));
      crowd.start();
      return;
    }
    int port = trouble == Trouble.FLOOD_OF_ADMIN_PAGES ? node.adminPort : node.httpPort;
    for (int i = 0; i < offenders; i++) {
      FloodClient flood =
          new FloodClient(
              port, trouble, new RequestGrammar(seed * 31 + i, "f" + i + "-", QUERY_CLASS, SHARDS));
      floods.add(flood);
      flood.start();
    }
  }

  private void stopTrouble() throws Exception {
    for (FloodClient flood : floods) {
      flood.close();
    }
    if (crowd != null) {
      crowd.close();
    }
  }

  private FloodReport report(
      TestBed.Node node, List<FairClient.Outcome> outcomes, long longestPageMs) throws IOException {
    int lost =
        count(outcomes, FairClient.End.LATE)
            + count(outcomes, FairClient.End.UNANSWERED)
            + count(outcomes, FairClient.End.FAILED);
    return new FloodReport(
        outcomes.size(),
        count(outcomes, FairClient.End.SERVED),
        count(outcomes, FairClient.End.REFUSED),
        lost,
        count(outcomes, FairClient.End.CLOSED),
        outcomes.stream().mapToLong(FairClient.Outcome::latencyUs).max().orElse(0) / 1_000,
        longestPageMs,
        ProcessStatus.peakResidentKb(node.processId()),
        floods.stream().mapToLong(FloodClient::connections).sum(),
        floods.stream().mapToLong(FloodClient::bytesRead).sum(),
        node.suspiciousLines());
  }

  private static int count(List<FairClient.Outcome> outcomes, FairClient.End end) {
    return (int) outcomes.stream().filter(outcome -> outcome.end() == end).count();
  }
}
