package dunlinhitch.experiments.measurements;

import dunlinhitch.experiments.testbed.ClusterSimulation;
import dunlinhitch.experiments.testbed.NetworkFaults;
import dunlinhitch.experiments.testbed.QueryLoad;
import dunlinhitch.experiments.testbed.TestBed;
import dunlinhitch.experiments.testbed.TestBedCommand;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Measures a cluster of eight broker processes and a ninth that joins later. One broker is
 * partitioned for 5 s, another is killed, and then the ninth joins. After each event the
 * measurement reports the load balance of the stores, the convergence time and the moved
 * connections; at the end it reports the outcomes of all queries.
 */
final class FleetRigMeasure implements Measures.Measure {
  private static final int BROKERS = 8;
  private static final int CELLS = 4;
  private static final int STORES_PER_CELL = 3;
  private static final int QUERY_INTERVAL_MS = 100;
  private static final int CONVERGENCE_TIMEOUT_S = 40;
  private static final int PARTITION_MS = 5_000;

  /** Bound of the ratio of the maximum to the mean load of a store. */
  private static final double MAX_UNEVENNESS = 1.3;

  /** Bound of the moved connections, as a multiple of the connections of one broker. */
  private static final double MAX_MOVED = 1.5;

  /**
   * Bound of the convergence time. It is the sum of two protocol periods, one ping timeout, the
   * suspicion timeout and the dissemination time; see docs/subsets.md.
   */
  private static final double MAX_CONVERGENCE_S = 6;

  /** The largest ratio of a figure to its bound in this run. */
  private double worst;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) throws Exception {
    worst = 0;
    Path directory = Files.createTempDirectory("rig");
    try (TestBed testBed = new TestBed(directory, seed, BROKERS + 1, CELLS, STORES_PER_CELL, "")) {
      List<TestBed.Node> first = testBed.nodes().subList(0, BROKERS);
      out.printf(
          "agree: seconds until the brokers of the row agree on the members; max/mean: brokers per store, maximum divided by "
              + "mean; moved: moved connections as a multiple of the connections of one broker%n"
              + "%-34s %8s %10s %12s %14s%n",
          "event", "brokers", "agree, s", "max/mean", "moved, ideal 1");
      testBed.start(first);
      TestBed.await(
          "the first eight brokers agree on the members",
          CONVERGENCE_TIMEOUT_S,
          () -> TestBed.agree(first));
      report(out, testBed, "eight brokers started", first, 0, -1);
      QueryLoad clients = new QueryLoad(testBed, QUERY_INTERVAL_MS);
      clients.start();
      Map<String, Set<String>> before = subsets(first);
      partitionAndHeal(out, testBed, first, before);
      List<TestBed.Node> survivors = kill(out, testBed, first, before);
      join(out, testBed, survivors);
      reportQueries(out, clients);
    } finally {
      TestBedCommand.clear(directory);
    }
    return new Measures.Verdict("figure-by-its-bound-at-worst", worst, "of 1", 1, true);
  }

  private void partitionAndHeal(
      PrintStream out, TestBed testBed, List<TestBed.Node> first, Map<String, Set<String>> before)
      throws Exception {
    NetworkFaults.Rule partition =
        testBed.links.add(
            (from, to) ->
                from.startsWith("n") && to.startsWith("n") && from.equals("n7") != to.equals("n7"),
            NetworkFaults.Harm.LOST,
            0,
            1);
    List<TestBed.Node> others = first.subList(0, BROKERS - 1);
    double removalS =
        TestBed.await(
            "the other brokers remove n7", CONVERGENCE_TIMEOUT_S, () -> TestBed.agree(others));
    double movedAtRemoval = ClusterSimulation.moved(before, subsets(others));
    report(out, testBed, "one partitioned: the other seven", others, removalS, movedAtRemoval);
    TimeUnit.MILLISECONDS.sleep(Math.max(0, PARTITION_MS - (long) (1000 * removalS)));
    testBed.links.remove(partition);
    double healingS =
        TestBed.await(
            "all brokers list n7 as a member again",
            CONVERGENCE_TIMEOUT_S,
            () -> TestBed.agree(first));
    double movedAfter = ClusterSimulation.moved(before, subsets(first));
    report(out, testBed, "partition healed", first, healingS, movedAfter);
  }

  /** Kills one broker; returns the others. */
  private List<TestBed.Node> kill(
      PrintStream out, TestBed testBed, List<TestBed.Node> first, Map<String, Set<String>> before)
      throws Exception {
    first.get(1).kill();
    List<TestBed.Node> survivors = new ArrayList<>(first);
    survivors.remove(1);
    double removalS =
        TestBed.await(
            "the other brokers remove n1", CONVERGENCE_TIMEOUT_S, () -> TestBed.agree(survivors));
    double moved = ClusterSimulation.moved(before, subsets(survivors));
    report(out, testBed, "one killed (SIGKILL)", survivors, removalS, moved);
    return survivors;
  }

  private void join(PrintStream out, TestBed testBed, List<TestBed.Node> survivors)
      throws Exception {
    Map<String, Set<String>> before = subsets(survivors);
    TestBed.Node joining = testBed.nodes().get(BROKERS);
    List<TestBed.Node> all = new ArrayList<>(survivors);
    all.add(joining);
    testBed.start(List.of(joining));
    double joinS =
        TestBed.await(
            "all brokers list the new broker as a member",
            CONVERGENCE_TIMEOUT_S,
            () -> TestBed.agree(all));
    double moved = ClusterSimulation.moved(subsets(all), before);
    report(out, testBed, "one joined (since its readiness)", all, joinS, moved);
  }

  private void reportQueries(PrintStream out, QueryLoad clients) throws Exception {
    Map<QueryLoad.End, Integer> ends = clients.stop();
    int breaches =
        ends.entrySet().stream()
            .filter(entry -> QueryLoad.isBreach(entry.getKey()))
            .mapToInt(Map.Entry::getValue)
            .sum();
    out.println("queries: " + ends);
    clients.notes().forEach(note -> out.println("  " + note));
    worst = Math.max(worst, breaches > 0 ? 1 + breaches : 0);
  }

  /** Returns the stores in the subset of each broker, by broker. */
  private static Map<String, Set<String>> subsets(List<TestBed.Node> nodes) {
    Map<String, Set<String>> subsets = new LinkedHashMap<>();
    nodes.forEach(node -> subsets.put(node.name, new HashSet<>(node.kept())));
    return subsets;
  }

  private void report(
      PrintStream out,
      TestBed testBed,
      String event,
      List<TestBed.Node> nodes,
      double seconds,
      double moved) {
    double unevenness = ClusterSimulation.unevenness(testBed.load(nodes::contains));
    double slowness = Math.max(seconds / MAX_CONVERGENCE_S, moved / MAX_MOVED);
    worst = Math.max(worst, Math.max(unevenness / MAX_UNEVENNESS, slowness));
    out.printf(
        Locale.ROOT,
        "%-34s %8d %10.2f %12.3f %14s%n",
        event,
        nodes.size(),
        seconds,
        unevenness,
        moved < 0 ? "" : String.format(Locale.ROOT, "%.2f", moved));
  }
}
