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
 * The view on virtual time: how long until all hold the same after each kind of trouble, what it
 * costs, and who is taken for dead though it lives; beside the same view with what is new switched
 * off. The verdict is the new view's figure that comes closest to its bound.
 */
final class FleetViewMeasure implements Measures.Measure {
  private static final long SECOND_US = 1_000_000;

  /** Time limit as a multiple of the bound; earlier settings may never converge. */
  private static final int TIMEOUT_FACTOR = 4;

  private static final double FALSE_DEATHS_IN_1000_HOURS = 1;
  private static final MembershipProtocolSettings NEW = MembershipProtocolSettings.STANDARD;
  private static final MembershipProtocolSettings OLD = NEW.baseline();

  /** A fault or change in a converged cluster; the table prints the names. */
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
   * One run.
   *
   * @param convergenceUs microseconds until all agree; below 0 if they did not within the limit
   * @param bytesPerS bytes sent by a broker in a second meanwhile, on the mean
   */
  private record Course(long convergenceUs, double bytesPerS, int largestWord) {}

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
        "until all hold the same, seconds at most of %d seeds from %d on (-: some did not within %d bounds); bytes a second and broker"
            + "%n",
        seeds,
        seed,
        TIMEOUT_FACTOR);
    out.printf(
        "%8s %5s %-18s %8s %8s %8s %10s %10s%n",
        "brokers", "loss", "trouble", "new", "bound", "old", "new B/s", "old B/s");
    List<Scenario> scenarios = scenarios(sizes, losses);
    int largestWord = 0;
    for (Scenario scenario : scenarios) {
      List<Course> courses =
          IntStream.range(0, 2 * seeds)
              .parallel()
              .mapToObj(i -> course(scenario, seed + i % seeds, i < seeds ? NEW : OLD))
              .toList();
      List<Course> current = courses.subList(0, seeds);
      List<Course> previous = courses.subList(seeds, 2 * seeds);
      double bound = scenario.fault().boundUs(NEW, scenario.brokers()) / 1e6;
      figure(current.stream().anyMatch(run -> run.convergenceUs() < 0) ? 2 : most(current) / bound);
      figure(bytes(current) / MembershipBounds.bytesPerS(NEW));
      largestWord =
          Math.max(largestWord, current.stream().mapToInt(Course::largestWord).max().orElse(0));
      out.printf(
          Locale.ROOT,
          "%8d %4.0f%% %-18s %8s %8.2f %8s %10.0f %10.0f%n",
          scenario.brokers(),
          100 * scenario.loss(),
          scenario.fault().name().toLowerCase(Locale.ROOT).replace('_', ' '),
          formatSeconds(current),
          bound,
          formatSeconds(previous),
          bytes(current),
          bytes(previous));
    }
    figure((double) largestWord / NEW.maxMessageBytes());
    out.printf(
        Locale.ROOT,
        "largest word %d bytes of %d; bytes a second and broker at most %.0f%n%n",
        largestWord,
        NEW.maxMessageBytes(),
        MembershipBounds.bytesPerS(NEW));
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
        "%8s %5s %10s %14s %14s %10s %10s%n",
        "brokers", "loss", "hours", "false deaths", "old, in hours", "new B/s", "old B/s");
    int runs = 8;
    for (int brokers : sizes) {
      for (double loss : losses) {
        double hours = quick ? 8 : loss >= 0.2 ? 1_200 : loss > 0 ? 120 : 8;
        double oldHours = Math.min(hours, 8);
        List<StableResult> current = rest(runs, seed, brokers, loss, NEW, hours / runs);
        List<StableResult> previous = rest(runs, seed, brokers, loss, OLD, oldHours / runs);
        long deaths = current.stream().mapToLong(StableResult::falseDeaths).sum();
        double played = current.stream().mapToDouble(StableResult::hours).sum();
        if (loss < 0.2) {
          figure(deaths == 0 ? 0 : 2);
        } else if (!quick) {
          figure(1_000 * deaths / played / FALSE_DEATHS_IN_1000_HOURS);
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

  private static List<StableResult> rest(
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
              MembershipSimulation world =
                  new MembershipSimulation(seed + 1_000 + i, loss, settings);
              world.harmed(true);
              world.start(0, brokers);
              world.untilAgree(MembershipBounds.joinUs(NEW, brokers));
              world.play(10 * SECOND_US);
              world.harmed(false);
              long bytes = world.bytes();
              long us = (long) (hours * 3600 * SECOND_US / brokers);
              world.play(us);
              return new StableResult(
                  world.falsePositives(), hours, (world.bytes() - bytes) / (us / 1e6) / brokers);
            })
        .toList();
  }

  private void figure(double ofItsBound) {
    worst = Math.max(worst, ofItsBound);
  }

  private static double most(List<Course> courses) {
    return courses.stream().mapToLong(Course::convergenceUs).max().orElse(0) / 1e6;
  }

  private static String formatSeconds(List<Course> courses) {
    return courses.stream().anyMatch(run -> run.convergenceUs() < 0)
        ? "-"
        : String.format(Locale.ROOT, "%.2f", most(courses));
  }

  private static double bytes(List<Course> courses) {
    return courses.stream().mapToDouble(Course::bytesPerS).max().orElse(0);
  }

  private static Course course(Scenario scenario, long seed, MembershipProtocolSettings settings) {
    int brokers = scenario.brokers();
    MembershipSimulation world = new MembershipSimulation(seed, scenario.loss(), settings);
    world.start(0, brokers);
    long timeoutUs = TIMEOUT_FACTOR * scenario.fault().boundUs(NEW, brokers);
    if (scenario.fault() != Fault.START) {
      world.untilAgree(TIMEOUT_FACTOR * MembershipBounds.joinUs(NEW, brokers));
      world.play(2 * SECOND_US);
    }
    inject(scenario.fault(), world, brokers);
    long bytesBefore = world.bytes();
    long startUs = world.nowUs();
    long convergenceUs =
        scenario.fault() == Fault.CUT_IN_HALVES
            ? untilHalvesAgree(world, brokers, timeoutUs)
            : world.untilAgree(timeoutUs);
    double seconds = Math.max(1, world.nowUs() - startUs) / 1e6;
    return new Course(
        convergenceUs,
        seconds < 0.2 ? 0 : (world.bytes() - bytesBefore) / seconds / world.nodes().size(),
        world.largestMessage());
  }

  private static void inject(Fault fault, MembershipSimulation world, int brokers) {
    switch (fault) {
      case START -> {
        // the brokers have just been started
      }
      case CRASH -> world.kill(brokers - 1);
      case LEAVE -> world.leave(brokers - 1);
      case ONE_MOVES -> world.move(brokers - 1, 0);
      case SEVEN_IN_TEN_DIE, AND_ARE_BACK -> crash(world, brokers, fault == Fault.AND_ARE_BACK);
      case CUT_IN_HALVES, CUT_IS_OVER -> {
        world.cut((from, to) -> half(from, brokers) != half(to, brokers));
        if (fault == Fault.CUT_IS_OVER) {
          world.play(MembershipBounds.dieUs(NEW, brokers));
          world.cut((from, to) -> false);
        }
      }
    }
  }

  /**
   * Crashes seven in ten brokers, but not all but one: that one would have nobody to agree with.
   */
  private static void crash(MembershipSimulation world, int brokers, boolean restart) {
    int crashing = Math.min(brokers - 2, (int) Math.ceil(0.7 * brokers));
    for (int i = 0; i < crashing; i++) {
      world.kill(i);
    }
    for (int i = 0; i < crashing && restart; i++) {
      world.restart(i, 0);
    }
  }

  private static boolean half(MembershipSimulation.Node node, int brokers) {
    return MembershipSimulation.number(node) < Math.max(2, brokers / 2);
  }

  /** Of three brokers the isolated one retains its members, so only the majority is compared. */
  private static long untilHalvesAgree(MembershipSimulation world, int brokers, long timeoutUs) {
    long from = world.nowUs();
    while (world.nowUs() - from <= timeoutUs) {
      List<MembershipSimulation.Node> one =
          world.nodes().stream().filter(node -> half(node, brokers)).toList();
      List<MembershipSimulation.Node> other =
          world.nodes().stream().filter(node -> !half(node, brokers)).toList();
      if (MembershipSimulation.agree(one)
          && (other.size() == 1 || MembershipSimulation.agree(other))) {
        return world.nowUs() - from;
      }
      world.play(SECOND_US / 20);
    }
    return -1;
  }
}
