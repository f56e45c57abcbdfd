package dunlinhitch.experiments.measurements;

import dunlinhitch.cluster.MembershipProtocolSettings;
import dunlinhitch.experiments.testbed.ViewBounds;
import dunlinhitch.experiments.testbed.ViewWorld;
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

  /** The old view is waited for so many bounds; it may never get there. */
  private static final int PATIENCE = 4;

  private static final double FALSE_DEATHS_IN_1000_HOURS = 1;
  private static final MembershipProtocolSettings NEW = MembershipProtocolSettings.STANDARD;
  private static final MembershipProtocolSettings OLD = NEW.baseline();

  /** Something that befalls a settled fleet. */
  private enum Trouble {
    START,
    CRASH,
    LEAVE,
    SEVEN_IN_TEN_DIE,
    AND_ARE_BACK,
    CUT_IN_HALVES,
    CUT_IS_OVER,
    ONE_MOVES;

    long boundUs(MembershipProtocolSettings s, int brokers) {
      return switch (this) {
        case START, AND_ARE_BACK, CUT_IS_OVER, ONE_MOVES -> ViewBounds.joinUs(s, brokers);
        case LEAVE -> ViewBounds.leaveUs(s, brokers);
        case CRASH, SEVEN_IN_TEN_DIE, CUT_IN_HALVES -> ViewBounds.dieUs(s, brokers);
      };
    }
  }

  /**
   * Microseconds until all agree, below 0: not within its patience; bytes a second and broker
   * meanwhile.
   */
  private record Course(long tookUs, double bytesPerS, int largestWord) {}

  private record Case(int brokers, double loss, Trouble trouble) {}

  private record Rest(long falseDeaths, double hours, double bytesPerS) {}

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
        PATIENCE);
    out.printf(
        "%8s %5s %-18s %8s %8s %8s %10s %10s%n",
        "brokers", "loss", "trouble", "new", "bound", "old", "new B/s", "old B/s");
    List<Case> cases = new ArrayList<>();
    for (int brokers : sizes) {
      for (double loss : losses) {
        for (Trouble trouble : Trouble.values()) {
          cases.add(new Case(brokers, loss, trouble));
        }
      }
    }
    int largestWord = 0;
    for (Case c : cases) {
      List<Course> courses =
          IntStream.range(0, 2 * seeds)
              .parallel()
              .mapToObj(i -> course(c, seed + i % seeds, i < seeds ? NEW : OLD))
              .toList();
      List<Course> fresh = courses.subList(0, seeds);
      List<Course> old = courses.subList(seeds, 2 * seeds);
      double bound = c.trouble().boundUs(NEW, c.brokers()) / 1e6;
      figure(fresh.stream().anyMatch(run -> run.tookUs() < 0) ? 2 : most(fresh) / bound);
      figure(bytes(fresh) / ViewBounds.bytesPerS(NEW));
      largestWord =
          Math.max(largestWord, fresh.stream().mapToInt(Course::largestWord).max().orElse(0));
      out.printf(
          Locale.ROOT,
          "%8d %4.0f%% %-18s %8s %8.2f %8s %10.0f %10.0f%n",
          c.brokers(),
          100 * c.loss(),
          c.trouble().name().toLowerCase(Locale.ROOT).replace('_', ' '),
          shown(fresh),
          bound,
          shown(old),
          bytes(fresh),
          bytes(old));
    }
    figure((double) largestWord / NEW.maxMessageBytes());
    out.printf(
        Locale.ROOT,
        "largest word %d bytes of %d; bytes a second and broker at most %.0f%n%n",
        largestWord,
        NEW.maxMessageBytes(),
        ViewBounds.bytesPerS(NEW));
    atRest(out, seed, quick, sizes, losses);
    return new Measures.Verdict("figure-by-its-bound-at-worst", worst, "of 1", 1, true);
  }

  private void atRest(PrintStream out, long seed, boolean quick, int[] sizes, double[] losses) {
    out.printf(
        "%8s %5s %10s %14s %14s %10s %10s%n",
        "brokers", "loss", "hours", "false deaths", "old, in hours", "new B/s", "old B/s");
    int runs = 8;
    for (int brokers : sizes) {
      for (double loss : losses) {
        double hours = quick ? 8 : loss >= 0.2 ? 1_200 : loss > 0 ? 120 : 8;
        double oldHours = Math.min(hours, 8);
        List<Rest> fresh = rest(runs, seed, brokers, loss, NEW, hours / runs);
        List<Rest> old = rest(runs, seed, brokers, loss, OLD, oldHours / runs);
        long deaths = fresh.stream().mapToLong(Rest::falseDeaths).sum();
        double played = fresh.stream().mapToDouble(Rest::hours).sum();
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
            old.stream().mapToLong(Rest::falseDeaths).sum(),
            old.stream().mapToDouble(Rest::hours).sum(),
            fresh.stream().mapToDouble(Rest::bytesPerS).average().orElse(0),
            old.stream().mapToDouble(Rest::bytesPerS).average().orElse(0));
      }
    }
  }

  private static List<Rest> rest(
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
              ViewWorld world = new ViewWorld(seed + 1_000 + i, loss, settings);
              world.harmed(true);
              world.start(0, brokers);
              world.untilAgree(ViewBounds.joinUs(NEW, brokers));
              world.play(10 * SECOND_US);
              world.harmed(false);
              long bytes = world.bytes();
              long us = (long) (hours * 3600 * SECOND_US / brokers);
              world.play(us);
              return new Rest(
                  world.falseDeaths(), hours, (world.bytes() - bytes) / (us / 1e6) / brokers);
            })
        .toList();
  }

  private void figure(double ofItsBound) {
    worst = Math.max(worst, ofItsBound);
  }

  private static double most(List<Course> courses) {
    return courses.stream().mapToLong(Course::tookUs).max().orElse(0) / 1e6;
  }

  private static String shown(List<Course> courses) {
    return courses.stream().anyMatch(run -> run.tookUs() < 0)
        ? "-"
        : String.format(Locale.ROOT, "%.2f", most(courses));
  }

  private static double bytes(List<Course> courses) {
    return courses.stream().mapToDouble(Course::bytesPerS).max().orElse(0);
  }

  private static Course course(Case c, long seed, MembershipProtocolSettings settings) {
    int brokers = c.brokers();
    ViewWorld world = new ViewWorld(seed, c.loss(), settings);
    world.start(0, brokers);
    long patience = PATIENCE * c.trouble().boundUs(NEW, brokers);
    if (c.trouble() != Trouble.START) {
      world.untilAgree(PATIENCE * ViewBounds.joinUs(NEW, brokers));
      world.play(2 * SECOND_US);
    }
    int dying = Math.min(brokers - 2, (int) Math.ceil(0.7 * brokers)); // one alone could not know
    switch (c.trouble()) {
      case START -> {
        // it has just been
      }
      case CRASH -> world.kill(brokers - 1);
      case LEAVE -> world.leave(brokers - 1);
      case ONE_MOVES -> world.move(brokers - 1, 0);
      case SEVEN_IN_TEN_DIE, AND_ARE_BACK -> {
        for (int i = 0; i < dying; i++) {
          world.kill(i);
        }
        for (int i = 0; i < dying && c.trouble() == Trouble.AND_ARE_BACK; i++) {
          world.restart(i, 0);
        }
      }
      case CUT_IN_HALVES, CUT_IS_OVER -> {
        world.cut((from, to) -> half(from, brokers) != half(to, brokers));
        if (c.trouble() == Trouble.CUT_IS_OVER) {
          world.play(ViewBounds.dieUs(NEW, brokers));
          world.cut((from, to) -> false);
        }
      }
    }
    long bytes = world.bytes();
    long words = world.nowUs();
    long took =
        c.trouble() == Trouble.CUT_IN_HALVES
            ? untilHalvesAgree(world, brokers, patience)
            : world.untilAgree(patience);
    double seconds = Math.max(1, world.nowUs() - words) / 1e6;
    return new Course(
        took,
        seconds < 0.2 ? 0 : (world.bytes() - bytes) / seconds / world.nodes().size(),
        world.largestWord());
  }

  private static boolean half(ViewWorld.Node node, int brokers) {
    return ViewWorld.number(node) < Math.max(2, brokers / 2);
  }

  /** Of 3 the one that is alone keeps what it knew. */
  private static long untilHalvesAgree(ViewWorld world, int brokers, long patience) {
    long from = world.nowUs();
    while (world.nowUs() - from <= patience) {
      List<ViewWorld.Node> one =
          world.nodes().stream().filter(node -> half(node, brokers)).toList();
      List<ViewWorld.Node> other =
          world.nodes().stream().filter(node -> !half(node, brokers)).toList();
      if (ViewWorld.agree(one) && (other.size() == 1 || ViewWorld.agree(other))) {
        return world.nowUs() - from;
      }
      world.play(SECOND_US / 20);
    }
    return -1;
  }
}
