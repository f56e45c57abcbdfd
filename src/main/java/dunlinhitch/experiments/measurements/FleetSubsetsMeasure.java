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
 * Choices of many brokers, added up: connections of each store, what a broker that comes or goes
 * moves, and probes of one cold store; by the fleet module on virtual time, beside all brokers at
 * all stores. The verdict is the figure that comes closest to its bound.
 */
final class FleetSubsetsMeasure implements Measures.Measure {
  private static final double MOST_UNEVEN = 1.2;
  private static final double MOST_MOVED = 1.5;
  private static final double MOST_PROBES = 2;
  private static final long SECOND_US = 1_000_000;
  private double worst;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    worst = 0;
    out.printf(
        "%8s %7s %6s %18s %18s %10s %10s%n",
        "brokers", "stores", "each", "connections", "of all-to-all", "max/mean", "bound");
    for (int[] shape :
        new int[][] {{8, 8, 3}, {100, 67, 3}, {100, 50, 4}, {300, 67, 3}, {100, 20, 10}}) {
      even(out, seed, shape[0], shape[1], shape[2]);
    }
    out.printf(
        "%n%8s %6s %14s %14s %14s %10s%n",
        "brokers", "each", "moved, mean", "moved, most", "all-to-all", "bound");
    moved(out, seed, 8, 3, 8, 3);
    moved(out, seed, 100, 97, 67, 3);
    out.printf(
        "%n%8s %24s %18s %18s %10s%n", "brokers", "", "probes/s, most", "each on its own", "bound");
    int[] sizes = quick ? new int[] {8, 30} : new int[] {8, 30, 100, 300};
    for (int brokers : sizes) {
      probes(out, seed, brokers, false);
      probes(out, seed, brokers, true);
    }
    return new Measures.Verdict("figure-by-its-bound-at-worst", worst, "of 1", 1, true);
  }

  private void figure(double value, double bound) {
    worst = Math.max(worst, value / bound);
  }

  private static Map<String, Set<String>> chosen(
      List<String> brokers, int cells, int each, long seed) {
    Subsetting subsets = new Subsetting(SubsetSettings.STANDARD);
    List<Subsetting.MemberView> members =
        brokers.stream().map(name -> new Subsetting.MemberView(name, "")).toList();
    Map<String, Set<String>> chosen = new LinkedHashMap<>();
    brokers.forEach(name -> chosen.put(name, new HashSet<>()));
    for (int cell = 0; cell < cells; cell++) {
      List<Subsetting.Store> stores = new ArrayList<>();
      for (int i = 0; i < each; i++) {
        stores.add(new Subsetting.Store("s" + seed + "-" + cell + "-" + i, ""));
      }
      int size = subsets.size(brokers.size(), each);
      subsets
          .of("c" + cell, members, stores)
          .forEach((name, order) -> chosen.get(name).addAll(order.subList(0, size)));
    }
    return chosen;
  }

  private static List<String> names(int many) {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < many; i++) {
      names.add("n" + i);
    }
    return names;
  }

  private void even(PrintStream out, long seed, int brokers, int cells, int each) {
    Map<String, Integer> load = new LinkedHashMap<>();
    chosen(names(brokers), cells, each, seed)
        .values()
        .forEach(kept -> kept.forEach(s -> load.merge(s, 1, Integer::sum)));
    int all = load.values().stream().mapToInt(i -> i).sum();
    double uneven = ClusterSimulation.unevenness(load);
    figure(uneven, MOST_UNEVEN);
    out.printf(
        Locale.ROOT,
        "%8d %7d %6d %18d %17.0f%% %10.3f %10.2f%n",
        brokers,
        cells * each,
        each,
        all,
        100.0 * all / (brokers * cells * each),
        uneven,
        MOST_UNEVEN);
  }

  /** Brokers leave one by one down to so many, and come back. */
  private void moved(PrintStream out, long seed, int brokers, int least, int cells, int each) {
    List<String> there = names(brokers);
    Map<String, Set<String>> before = chosen(there, cells, each, seed);
    double sum = 0;
    double most = 0;
    int changes = 0;
    for (int i = brokers - 1; i >= least; i--) {
      there.remove("n" + i);
      Map<String, Set<String>> after = chosen(there, cells, each, seed);
      double moved = ClusterSimulation.moved(before, after);
      sum += moved;
      most = Math.max(most, moved);
      changes++;
      before = after;
    }
    for (int i = least; i < brokers; i++) {
      there.add("n" + i);
      Map<String, Set<String>> after = chosen(there, cells, each, seed);
      double moved = ClusterSimulation.moved(after, before);
      sum += moved;
      most = Math.max(most, moved);
      changes++;
      before = after;
    }
    figure(most, MOST_MOVED);
    out.printf(
        Locale.ROOT,
        "%8s %6d %13.2fx %13.2fx %13.2fx %10.2f%n",
        brokers + " to " + least,
        each,
        sum / changes,
        most,
        1.0,
        MOST_MOVED);
  }

  /**
   * All brokers want the same cold store probed ten times a second; {@code cut}: a third is cut off
   * for 5 s, one is killed.
   */
  private void probes(PrintStream out, long seed, int brokers, boolean cut) {
    ClusterSimulation world = new ClusterSimulation(seed, brokers, 0.01, ClusterSettings.STANDARD);
    world.stores(1, 3);
    for (int i = 0; i < brokers; i++) {
      world.start(i);
    }
    long settled = 8 * SECOND_US;
    long end = settled + 15 * SECOND_US;
    for (long at = settled; at < end; at += SECOND_US / 10) {
      for (ClusterSimulation.Node node : world.nodes()) {
        world.at(at + 37L * node.name.hashCode() % 90_000, () -> node.requestHealthCheck("s0-0"));
      }
    }
    if (cut) {
      world.at(
          settled + 3 * SECOND_US,
          () -> {
            for (int i = 0; i < brokers / 3; i++) {
              world.group(i, 1);
            }
            world.kill(brokers - 1);
          });
      world.at(
          settled + 8 * SECOND_US,
          () -> world.nodes().forEach(n -> world.group(Integer.parseInt(n.name.substring(1)), 0)));
    }
    world.playTo(end);
    long most = world.mostProbesInASecond(settled + 2 * SECOND_US);
    figure((double) most, MOST_PROBES);
    out.printf(
        Locale.ROOT,
        "%8d %24s %18d %18d %10.0f%n",
        brokers,
        cut ? "a third cut, one killed" : "all well",
        most,
        10L * brokers,
        MOST_PROBES);
  }
}
