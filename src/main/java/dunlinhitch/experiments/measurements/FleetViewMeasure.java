package dunlinhitch.experiments.measurements;

import dunlinhitch.cluster.MembershipProtocolSettings;
import dunlinhitch.experiments.testbed.MembershipBounds;
import dunlinhitch.experiments.testbed.MembershipSimulation;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;

/**
 * Measures the membership protocol in virtual time: the convergence time after each kind of fault,
 * the traffic, and the running brokers that are declared dead by mistake. For comparison, it prints
 * the same figures for the baseline settings of the protocol. The verdict is the largest ratio of a
 * figure to its bound under the current settings.
 */
final class FleetViewMeasure implements Measures.Measure {
  private static final long SECOND_US = 1_000_000;

  /**
   * Time limit of a run as a multiple of the bound. A limit is needed because brokers with the
   * baseline settings may never converge.
   */
  private static final int TIMEOUT_FACTOR = 4;

  private static final double MAX_FALSE_DEATHS_PER_1000_HOURS = 1;
  private static final MembershipProtocolSettings CURRENT = MembershipProtocolSettings.STANDARD;
  private static final MembershipProtocolSettings BASELINE = CURRENT.baseline();

  /** A fault or change in a converged cluster; the table prints the names of the constants. */
  private enum Fault {
    START,
    CRASH,
    LEAVE,
    SEVEN_IN_TEN_DIE,
    AND_ARE_BACK,
    CUT_IN_HALVES,
    CUT_IS_OVER,
    ONE_MOVES;

    long boundUs(MembershipProtocolSettings settings, int brokers) {
      return switch (this) {
        case START, AND_ARE_BACK, CUT_IS_OVER, ONE_MOVES ->
            MembershipBounds.joinUs(settings, brokers);
        case LEAVE -> MembershipBounds.leaveUs(settings, brokers);
        case CRASH, SEVEN_IN_TEN_DIE, CUT_IN_HALVES -> MembershipBounds.dieUs(settings, brokers);
      };
    }
  }

  /**
   * The result of one run.
   *
   * @param convergenceUs microseconds until all brokers agreed on the members; negative if they did
   *     not agree within the time limit
   * @param bytesPerS bytes that a broker sent per second during this time, averaged over the
   *     brokers
   */
  private record Convergence(long convergenceUs, double bytesPerS, int largestMessage) {}

  private record Scenario(int brokers, double loss, Fault fault) {}

  private record StableResult(long falseDeaths, double hours, double bytesPerS) {}

  private double worst;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    worst = 0;
    int[] sizes = quick ? new int[] {3, 30} : new int[] {3, 30, 100, 300};
    double[] losses = {0, 0.05, 0.2};
    int seeds = quick ? 2 : 5;
    out.printf(
        Locale.ROOT,
        "trouble: the injected fault; new, old: seconds until all brokers agree on the members, with the current and the baseline settings%n"
            + "the figures are the maximum over %d seeds, the first of which is %d%n"
            + "'-': at least one run took longer than %d times the bound; B/s: bytes that a broker sends per second%n",
        seeds,
        seed,
        TIMEOUT_FACTOR);
    out.printf(
        "%8s %5s %-18s %8s %8s %8s %10s %10s%n",
        "brokers", "loss", "trouble", "new", "bound", "old", "new B/s", "old B/s");
    List<Scenario> scenarios = scenarios(sizes, losses);
    int largestMessage = 0;
    for (Scenario scenario : scenarios) {
      List<Convergence> convergences =
          IntStream.range(0, 2 * seeds)
              .parallel()
              .mapToObj(
                  i ->
                      measureConvergence(
                          scenario, seed + i % seeds, i < seeds ? CURRENT : BASELINE))
              .toList();
      List<Convergence> current = convergences.subList(0, seeds);
      List<Convergence> previous = convergences.subList(seeds, 2 * seeds);
      double bound = scenario.fault().boundUs(CURRENT, scenario.brokers()) / 1e6;
      recordFigure(
          current.stream().anyMatch(run -> run.convergenceUs() < 0)
              ? 2
              : maxSeconds(current) / bound);
      recordFigure(maxBytesPerS(current) / MembershipBounds.bytesPerS(CURRENT));
      largestMessage =
          Math.max(
              largestMessage,
              current.stream().mapToInt(Convergence::largestMessage).max().orElse(0));
      out.printf(
          Locale.ROOT,
          "%8d %4.0f%% %-18s %8s %8.2f %8s %10.0f %10.0f%n",
          scenario.brokers(),
          100 * scenario.loss(),
          scenario.fault().name().toLowerCase(Locale.ROOT).replace('_', ' '),
          formatSeconds(current),
          bound,
          formatSeconds(previous),
          maxBytesPerS(current),
          maxBytesPerS(previous));
    }
    recordFigure((double) largestMessage / CURRENT.maxMessageBytes());
    out.printf(
        Locale.ROOT,
        "largest message: %d bytes, limit %d; limit of B/s: %.0f%n%n",
        largestMessage,
        CURRENT.maxMessageBytes(),
        MembershipBounds.bytesPerS(CURRENT));
    measureStableCluster(out, seed, quick, sizes, losses);
    return new Measures.Verdict("figure-by-its-bound-at-worst", worst, "of 1", 1, true);
  }

  private static List<Scenario> scenarios(int[] sizes, double[] losses) {
    List<Scenario> scenarios = new ArrayList<>();
    for (int brokers : sizes) {
      for (double loss : losses) {
        for (Fault fault : Fault.values()) {
          scenarios.add(new Scenario(brokers, loss, fault));
        }
      }
    }
    return scenarios;
  }

  private void measureStableCluster(
      PrintStream out, long seed, boolean quick, int[] sizes, double[] losses) {
    out.printf(
        "false deaths: running brokers that were declared dead with the current settings; hours: simulated time%n"
            + "old, in hours: false deaths and simulated hours with the baseline settings%n%8s %5s %10s %14s %14s %10s %10s%n",
        "brokers", "loss", "hours", "false deaths", "old, in hours", "new B/s", "old B/s");
    int runs = 8;
    for (int brokers : sizes) {
      for (double loss : losses) {
        double hours = quick ? 8 : loss >= 0.2 ? 1_200 : loss > 0 ? 120 : 8;
        double oldHours = Math.min(hours, 8);
        List<StableResult> current =
            measureStability(runs, seed, brokers, loss, CURRENT, hours / runs);
        List<StableResult> previous =
            measureStability(runs, seed, brokers, loss, BASELINE, oldHours / runs);
        long deaths = current.stream().mapToLong(StableResult::falseDeaths).sum();
        double played = current.stream().mapToDouble(StableResult::hours).sum();
        if (loss < 0.2) {
          recordFigure(deaths == 0 ? 0 : 2);
        } else if (!quick) {
          recordFigure(1_000 * deaths / played / MAX_FALSE_DEATHS_PER_1000_HOURS);
        }
        out.printf(
            Locale.ROOT,
            "%8d %4.0f%% %10.0f %14d %7d in %3.0f %10.0f %10.0f%n",
            brokers,
            100 * loss,
            played,
            deaths,
            previous.stream().mapToLong(StableResult::falseDeaths).sum(),
            previous.stream().mapToDouble(StableResult::hours).sum(),
            current.stream().mapToDouble(StableResult::bytesPerS).average().orElse(0),
            previous.stream().mapToDouble(StableResult::bytesPerS).average().orElse(0));
      }
    }
  }

  private static List<StableResult> measureStability(
      int runs,
      long seed,
      int brokers,
      double loss,
      MembershipProtocolSettings settings,
      double hours) {
    return IntStream.range(0, runs)
        .parallel()
        .mapToObj(
            i -> {
              MembershipSimulation simulation =
                  new MembershipSimulation(seed + 1_000 + i, loss, settings);
              simulation.harmed(true);
              simulation.start(0, brokers);
              simulation.untilAgree(MembershipBounds.joinUs(CURRENT, brokers));
              simulation.play(10 * SECOND_US);
              simulation.harmed(false);
              long bytes = simulation.bytes();
              long us = (long) (hours * 3600 * SECOND_US / brokers);
              simulation.play(us);
              return new StableResult(
                  simulation.falsePositives(),
                  hours,
                  (simulation.bytes() - bytes) / (us / 1e6) / brokers);
            })
        .toList();
  }

  private void recordFigure(double ratioToBound) {
    worst = Math.max(worst, ratioToBound);
  }

  private static double maxSeconds(List<Convergence> convergences) {
    return convergences.stream().mapToLong(Convergence::convergenceUs).max().orElse(0) / 1e6;
  }

  private static String formatSeconds(List<Convergence> convergences) {
    return convergences.stream().anyMatch(run -> run.convergenceUs() < 0)
        ? "-"
        : String.format(Locale.ROOT, "%.2f", maxSeconds(convergences));
  }

  private static double maxBytesPerS(List<Convergence> convergences) {
    return convergences.stream().mapToDouble(Convergence::bytesPerS).max().orElse(0);
  }

  private static Convergence measureConvergence(
      Scenario scenario, long seed, MembershipProtocolSettings settings) {
    int brokers = scenario.brokers();
    MembershipSimulation simulation = new MembershipSimulation(seed, scenario.loss(), settings);
    simulation.start(0, brokers);
    long timeoutUs = TIMEOUT_FACTOR * scenario.fault().boundUs(CURRENT, brokers);
    if (scenario.fault() != Fault.START) {
      simulation.untilAgree(TIMEOUT_FACTOR * MembershipBounds.joinUs(CURRENT, brokers));
      simulation.play(2 * SECOND_US);
    }
    inject(scenario.fault(), simulation, brokers);
    long bytesBefore = simulation.bytes();
    long startUs = simulation.nowUs();
    long convergenceUs =
        scenario.fault() == Fault.CUT_IN_HALVES
            ? untilHalvesAgree(simulation, brokers, timeoutUs)
            : simulation.untilAgree(timeoutUs);
    double seconds = Math.max(1, simulation.nowUs() - startUs) / 1e6;
    return new Convergence(
        convergenceUs,
        seconds < 0.2
            ? 0
            : (simulation.bytes() - bytesBefore) / seconds / simulation.nodes().size(),
        simulation.largestMessage());
  }

  private static void inject(Fault fault, MembershipSimulation simulation, int brokers) {
    switch (fault) {
      case START -> {
        // Injects nothing: the measured event is the start of all brokers, with which the
        // simulation begins.
      }
      case CRASH -> simulation.kill(brokers - 1);
      case LEAVE -> simulation.leave(brokers - 1);
      case ONE_MOVES -> simulation.move(brokers - 1, 0);
      case SEVEN_IN_TEN_DIE, AND_ARE_BACK ->
          crash(simulation, brokers, fault == Fault.AND_ARE_BACK);
      case CUT_IN_HALVES, CUT_IS_OVER -> {
        simulation.cut((from, to) -> isInFirstHalf(from, brokers) != isInFirstHalf(to, brokers));
        if (fault == Fault.CUT_IS_OVER) {
          simulation.play(MembershipBounds.dieUs(CURRENT, brokers));
          simulation.cut((from, to) -> false);
        }
      }
    }
  }

  /**
   * Crashes seven in ten brokers, but leaves at least two running, because a single broker has no
   * other broker to agree with.
   */
  private static void crash(MembershipSimulation simulation, int brokers, boolean restart) {
    int crashing = Math.min(brokers - 2, (int) Math.ceil(0.7 * brokers));
    for (int i = 0; i < crashing; i++) {
      simulation.kill(i);
    }
    for (int i = 0; i < crashing && restart; i++) {
      simulation.restart(i, 0);
    }
  }

  private static boolean isInFirstHalf(MembershipSimulation.Node node, int brokers) {
    return MembershipSimulation.number(node) < Math.max(2, brokers / 2);
  }

  /**
   * Returns the microseconds until the brokers of each half agree on the members, or -1 if they do
   * not agree within {@code timeoutUs}. In a cluster of three, the isolated broker retains the
   * other two brokers as members. In such a cluster, only the member lists of the other two brokers
   * are compared.
   */
  private static long untilHalvesAgree(
      MembershipSimulation simulation, int brokers, long timeoutUs) {
    long from = simulation.nowUs();
    while (simulation.nowUs() - from <= timeoutUs) {
      List<MembershipSimulation.Node> one =
          simulation.nodes().stream().filter(node -> isInFirstHalf(node, brokers)).toList();
      List<MembershipSimulation.Node> other =
          simulation.nodes().stream().filter(node -> !isInFirstHalf(node, brokers)).toList();
      if (MembershipSimulation.agree(one)
          && (other.size() == 1 || MembershipSimulation.agree(other))) {
        return simulation.nowUs() - from;
      }
      simulation.play(SECOND_US / 20);
    }
    return -1;
  }
}
