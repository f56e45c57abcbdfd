package dunlinhitch.experiments.measurements;

import dunlinhitch.experiments.testbed.FleetWorld;
import dunlinhitch.experiments.testbed.Links;
import dunlinhitch.experiments.testbed.Rig;
import dunlinhitch.experiments.testbed.RigClients;
import dunlinhitch.experiments.testbed.RigCommand;
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
 * Eight processes of the real program and a ninth that comes later, on loopback: what one cut off
 * for 5 s, one killed with SIGKILL and one new do to the brokers at each store, how long until all
 * agree, what a change moves, and what becomes of every query meanwhile.
 */
final class FleetRigMeasure implements Measures.Measure {
  private static final int BROKERS = 8;
  private static final int CELLS = 4;
  private static final int EACH = 3;
  private static final int WAIT_S = 40;
  private static final int CUT_MS = 5_000;
  private static final double MOST_UNEVEN = 1.3;
  private static final double MOST_MOVED = 1.5;

  /**
   * Two rounds of looks, an answer's wait, the suspicion, and the news to all; see docs/subsets.md.
   */
  private static final double MOST_S = 6;

  private double worst;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) throws Exception {
    worst = 0;
    Path dir = Files.createTempDirectory("rig");
    try (Rig rig = new Rig(dir, seed, BROKERS + 1, CELLS, EACH, "")) {
      List<Rig.Node> first = rig.nodes().subList(0, BROKERS);
      out.printf(
          "%-34s %8s %10s %12s %14s%n",
          "what happens", "brokers", "agree, s", "max/mean", "moved, ideal 1");
      rig.start(first);
      Rig.await("the first agree", WAIT_S, () -> Rig.agree(first));
      show(out, rig, "eight started", first, 0, -1);
      RigClients clients = new RigClients(rig, 100);
      clients.start();

      Map<String, Set<String>> before = kept(first);
      Links.Rule cut =
          rig.links.add(
              (from, to) ->
                  from.startsWith("n")
                      && to.startsWith("n")
                      && from.equals("n7") != to.equals("n7"),
              Links.Harm.LOST,
              0,
              1);
      List<Rig.Node> without = first.subList(0, BROKERS - 1);
      double out7 = Rig.await("the others go on without n7", WAIT_S, () -> Rig.agree(without));
      show(
          out,
          rig,
          "one cut off, the other seven",
          without,
          out7,
          FleetWorld.moved(before, kept(without)));
      TimeUnit.MILLISECONDS.sleep(Math.max(0, CUT_MS - (long) (1000 * out7)));
      rig.links.remove(cut);
      double back = Rig.await("n7 is back", WAIT_S, () -> Rig.agree(first));
      show(out, rig, "the cut is over", first, back, FleetWorld.moved(before, kept(first)));

      first.get(1).kill();
      List<Rig.Node> left = new ArrayList<>(first);
      left.remove(1);
      double gone = Rig.await("the others go on without n1", WAIT_S, () -> Rig.agree(left));
      show(out, rig, "one killed (SIGKILL)", left, gone, FleetWorld.moved(before, kept(left)));

      Map<String, Set<String>> seven = kept(left);
      List<Rig.Node> eight = new ArrayList<>(left);
      eight.add(rig.nodes().get(BROKERS));
      rig.start(List.of(rig.nodes().get(BROKERS)));
      double come = Rig.await("the new one is known", WAIT_S, () -> Rig.agree(eight));
      show(
          out,
          rig,
          "a new one (from its readiness on)",
          eight,
          come,
          FleetWorld.moved(kept(eight), seven));

      Map<RigClients.End, Integer> ends = clients.stop();
      int lost =
          ends.entrySet().stream()
              .filter(e -> RigClients.isBreach(e.getKey()))
              .mapToInt(Map.Entry::getValue)
              .sum();
      out.println("queries: " + ends);
      clients.notes().forEach(note -> out.println("  " + note));
      worst = Math.max(worst, lost > 0 ? 1 + lost : 0);
    } finally {
      RigCommand.clear(dir);
    }
    return new Measures.Verdict("figure-by-its-bound-at-worst", worst, "of 1", 1, true);
  }

  private static Map<String, Set<String>> kept(List<Rig.Node> nodes) {
    Map<String, Set<String>> kept = new LinkedHashMap<>();
    nodes.forEach(node -> kept.put(node.name, new HashSet<>(node.kept())));
    return kept;
  }

  private void show(
      PrintStream out, Rig rig, String what, List<Rig.Node> nodes, double seconds, double moved) {
    double uneven = FleetWorld.unevenness(rig.load(nodes::contains));
    worst =
        Math.max(
            worst, Math.max(uneven / MOST_UNEVEN, Math.max(seconds / MOST_S, moved / MOST_MOVED)));
    out.printf(
        Locale.ROOT,
        "%-34s %8d %10.2f %12.3f %14s%n",
        what,
        nodes.size(),
        seconds,
        uneven,
        moved < 0 ? "" : String.format(Locale.ROOT, "%.2f", moved));
  }
}
