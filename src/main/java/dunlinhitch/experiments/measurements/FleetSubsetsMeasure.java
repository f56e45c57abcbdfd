package dunlinhitch.experiments.measurements;

import dunlinhitch.cluster.ClusterSettings;
import dunlinhitch.cluster.SubsetSettings;
import dunlinhitch.cluster.Subsetting;
import dunlinhitch.experiments.testbed.ClusterSimulation;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Measures the subsets that many brokers select, on the cluster module in virtual time: the
 * connections of each store, the connections moved by a broker that joins or leaves, and the health
 * checks of one cold store. For comparison, it prints the figures of brokers that connect to all
 * stores. The verdict is the largest ratio of a figure to its bound.
 */
final class FleetSubsetsMeasure implements Measures.Measure {
  private static final double MAX_UNEVENNESS = 1.2;
  private static final double MAX_MOVED = 1.5;
  private static final double MAX_HEALTH_CHECKS = 2;
  private static final long SECOND_US = 1_000_000;
  private double worst;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    worst = 0;
    out.printf(
        "each: stores in each cell; of all-to-all: connections as a share of the connections of a full mesh; max/mean: connections "
            + "per store, maximum divided by mean%n%8s %7s %6s %18s %18s %10s %10s%n",
        "brokers", "stores", "each", "connections", "of all-to-all", "max/mean", "bound");
    for (int[] shape :
        new int[][] {{8, 8, 3}, {100, 67, 3}, {100, 50, 4}, {300, 67, 3}, {100, 20, 10}}) {
      measureBalance(out, seed, shape[0], shape[1], shape[2]);
    }
    out.printf(
        "%nbrokers: initial and minimum cluster size; brokers leave and join one at a time; moved: moved connections as a multiple of "
            + "the connections of one broker%n%8s %6s %14s %14s %14s %10s%n",
        "brokers", "each", "mean moved", "max moved", "all-to-all", "bound");
    measureMoves(out, seed, 8, 3, 8, 3);
    measureMoves(out, seed, 100, 97, 67, 3);
    out.printf(
        "%nhealth checks of one cold store per second; without sharing: rate if each request caused a health check%n%8s %24s %18s %18s %10s%n",
        "brokers", "faults", "max probes/s", "without sharing", "bound");
    int[] sizes = quick ? new int[] {8, 30} : new int[] {8, 30, 100, 300};
    for (int brokers : sizes) {
      measureHealthChecks(out, seed, brokers, false);
      measureHealthChecks(out, seed, brokers, true);
    }
    return new Measures.Verdict("figure-by-its-bound-at-worst", worst, "of 1", 1, true);
  }

  private void recordFigure(double value, double bound) {
    worst = Math.max(worst, value / bound);
  }

  private static Map<String, Set<String>> selectSubsets(
      List<String> brokers, int cells, int each, long seed) {
    Subsetting subsets = new Subsetting(SubsetSettings.STANDARD);
    List<Subsetting.MemberView> members =
        brokers.stream().map(name -> new Subsetting.MemberView(name, "")).toList();
    Map<String, Set<String>> subsetsByBroker = new LinkedHashMap<>();
    brokers.forEach(name -> subsetsByBroker.put(name, new HashSet<>()));
    for (int cell = 0; cell < cells; cell++) {
      List<Subsetting.Endpoint> stores = new ArrayList<>();
      for (int i = 0; i < each; i++) {
        stores.add(new Subsetting.Endpoint("s" + seed + "-" + cell + "-" + i, ""));
      }
      int size = subsets.size(brokers.size(), each);
      subsets
          .of("c" + cell, members, stores)
          .forEach((name, order) -> subsetsByBroker.get(name).addAll(order.subList(0, size)));
    }
    return subsetsByBroker;
  }

  private static List<String> brokerNames(int count) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      names.add("n" + i);
    }
    return names;
  }

  private void measureBalance(PrintStream out, long seed, int brokers, int cells, int each) {
    Map<String, Integer> load = new LinkedHashMap<>();
    selectSubsets(brokerNames(brokers), cells, each, seed)
        .values()
        .forEach(subset -> subset.forEach(store -> load.merge(store, 1, Integer::sum)));
    int all = load.values().stream().mapToInt(i -> i).sum();
    double unevenness = ClusterSimulation.unevenness(load);
    recordFigure(unevenness, MAX_UNEVENNESS);
    out.printf(
        Locale.ROOT,
        "%8d %7d %6d %18d %17.0f%% %10.3f %10.2f%n",
        brokers,
        cells * each,
        each,
        all,
        100.0 * all / (brokers * cells * each),
        unevenness,
        MAX_UNEVENNESS);
  }

  /** Removes brokers one by one until {@code minBrokers} are left, and adds them again. */
  private void measureMoves(
      PrintStream out, long seed, int brokers, int minBrokers, int cells, int each) {
    List<String> present = brokerNames(brokers);
    Map<String, Set<String>> before = selectSubsets(present, cells, each, seed);
    double sum = 0;
    double max = 0;
    int changes = 0;
    for (int i = brokers - 1; i >= minBrokers; i--) {
      present.remove("n" + i);
      Map<String, Set<String>> after = selectSubsets(present, cells, each, seed);
      double moved = ClusterSimulation.moved(before, after);
      sum += moved;
      max = Math.max(max, moved);
      changes++;
      before = after;
    }
    for (int i = minBrokers; i < brokers; i++) {
      present.add("n" + i);
      Map<String, Set<String>> after = selectSubsets(present, cells, each, seed);
      double moved = ClusterSimulation.moved(after, before);
      sum += moved;
      max = Math.max(max, moved);
      changes++;
      before = after;
    }
    recordFigure(max, MAX_MOVED);
    out.printf(
        Locale.ROOT,
        "%8s %6d %13.2fx %13.2fx %13.2fx %10.2f%n",
        brokers + " to " + minBrokers,
        each,
        sum / changes,
        max,
        1.0,
        MAX_MOVED);
  }

  /**
   * Each broker requests a health check of the same cold store ten times a second. With faults, a
   * third of the brokers is partitioned from the others for 5 s, and one broker is killed.
   */
  private void measureHealthChecks(PrintStream out, long seed, int brokers, boolean withFaults) {
    ClusterSimulation simulation =
        new ClusterSimulation(seed, brokers, 0.01, ClusterSettings.STANDARD);
    simulation.stores(1, 3);
    for (int i = 0; i < brokers; i++) {
      simulation.start(i);
    }
    long settledUs = 8 * SECOND_US;
    long endUs = settledUs + 15 * SECOND_US;
    for (long atUs = settledUs; atUs < endUs; atUs += SECOND_US / 10) {
      for (ClusterSimulation.Node node : simulation.nodes()) {
        simulation.at(
            atUs + 37L * node.name.hashCode() % 90_000, () -> node.requestHealthCheck("s0-0"));
      }
    }
    if (withFaults) {
      simulation.at(
          settledUs + 3 * SECOND_US,
          () -> {
            for (int i = 0; i < brokers / 3; i++) {
              simulation.group(i, 1);
            }
            simulation.kill(brokers - 1);
          });
      simulation.at(
          settledUs + 8 * SECOND_US,
          () ->
              simulation
                  .nodes()
                  .forEach(node -> simulation.group(Integer.parseInt(node.name.substring(1)), 0)));
    }
    simulation.playTo(endUs);
    long max = simulation.mostProbesInASecond(settledUs + 2 * SECOND_US);
    recordFigure((double) max, MAX_HEALTH_CHECKS);
    out.printf(
        Locale.ROOT,
        "%8d %24s %18d %18d %10.0f%n",
        brokers,
        withFaults ? "third isolated, 1 killed" : "none",
        max,
        10L * brokers,
        MAX_HEALTH_CHECKS);
  }
}
