package dunlinhitch.experiments.simulation;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands that run, search, shrink and print simulated runs. */
public final class SimulationCommands {
  private SimulationCommands() {}

  /** Selects a schedule: read from a file, or generated from a seed. */
  static final class ScheduleSelection {
    @Parameters(
        arity = "0..1",
        paramLabel = "FILE",
        description =
            "a schedule file (*.day); without it, the schedule is generated from the seed")
    private Path file;

    @Option(names = "--seed", description = "seed of the random generators")
    private Long seed;

    @Option(
        names = "--defect",
        defaultValue = "NONE",
        description = "defect to inject into a generated schedule: one of ${COMPLETION-CANDIDATES}")
    private Defect defect;

    SimulationSchedule schedule() throws IOException {
      return file == null
          ? SimulationSchedules.generate(seed == null ? 1 : seed, defect)
          : SimulationSchedules.parse(file, seed);
    }
  }

  private static void printResult(SimulationResult result) {
    System.out.printf(
        Locale.ROOT,
        "seed %d: served %.3f of the offered weight, %d steps, digest %s%n",
        result.schedule().seed(),
        result.share(),
        result.steps(),
        result.digest().substring(0, 16));
    if (result.violation() != null) {
      InvariantChecker.Violation violation = result.violation();
      System.out.printf(
          Locale.ROOT,
          "violation: %s (%s) at step %d, %.6f s%n%s",
          violation.rule(),
          violation.subject(),
          violation.step(),
          violation.atUs() / 1e6 % 1e5,
          violation.trace());
    }
  }

  @Command(
      name = "run",
      description =
          "Simulates the schedule of a file or a seed; exit code 1 if an invariant is violated.",
      mixinStandardHelpOptions = true)
  public static final class Run implements Callable<Integer> {
    @Mixin private ScheduleSelection selection;

    @Override
    public Integer call() throws IOException {
      SimulationSchedule schedule = selection.schedule();
      System.out.print(SimulationSchedules.format(schedule));
      SimulationResult result = Simulation.play(schedule, false);
      printResult(result);
      return result.violation() == null ? 0 : 1;
    }
  }

  @Command(
      name = "search",
      description =
          "Simulates the schedules of many seeds on all cores; exit code 1 if an invariant is violated.",
      mixinStandardHelpOptions = true)
  public static final class Search implements Callable<Integer> {
    @Option(
        names = "--seeds",
        defaultValue = "100",
        description = "number of seeds (default: ${DEFAULT-VALUE})")
    private int seeds;

    @Option(
        names = "--from",
        defaultValue = "1",
        description = "first seed (default: ${DEFAULT-VALUE})")
    private long from;

    @Option(
        names = "--defect",
        defaultValue = "NONE",
        description = "defect to inject: one of ${COMPLETION-CANDIDATES}")
    private Defect defect;

    @Override
    public Integer call() {
      long begin = System.nanoTime();
      SimulationSchedules.SearchResult found =
          SimulationSchedules.search(from, seeds, defect, false);
      System.out.printf(
          Locale.ROOT,
          "%d seeds in %.1f s, %d steps, served %.3f of the offered weight, %d violations%n",
          found.played(),
          (System.nanoTime() - begin) / 1e9,
          found.steps(),
          found.meanShare(),
          found.violations().size());
      found.violations().stream()
          .limit(10)
          .forEach(
              result ->
                  System.out.printf(
                      "seed %d: %s (%s)%n",
                      result.schedule().seed(),
                      result.violation().rule(),
                      result.violation().subject()));
      return found.violations().isEmpty() ? 0 : 1;
    }
  }

  @Command(
      name = "shrink",
      description =
          "Shrinks a schedule that violates an invariant and prints the smallest schedule found that still violates it.",
      mixinStandardHelpOptions = true)
  public static final class Shrink implements Callable<Integer> {
    @Mixin private ScheduleSelection selection;

    @Override
    public Integer call() throws IOException {
      SimulationSchedule schedule = SimulationSchedules.shrink(selection.schedule());
      System.out.print(
          "# "
              + Simulation.play(schedule, false).violation().rule()
              + "\n"
              + SimulationSchedules.format(schedule));
      return 0;
    }
  }

  @Command(
      name = "show",
      description = "Prints the trace of a simulated run, or its lines about one query or store.",
      mixinStandardHelpOptions = true)
  public static final class Show implements Callable<Integer> {
    @Mixin private ScheduleSelection selection;

    @Option(
        names = "--of",
        defaultValue = "",
        description = "query or store whose lines are printed, such as q12 or s3")
    private String of;

    @Override
    public Integer call() throws IOException {
      SimulationSchedule schedule = selection.schedule();
      Simulation.play(schedule, true).trace().stream()
          .filter(
              line ->
                  of.isEmpty()
                      || line.matches(".*\\b" + java.util.regex.Pattern.quote(of) + "\\b.*"))
          .forEach(
              line -> {
                int blank = line.indexOf(' ');
                System.out.printf(
                    Locale.ROOT,
                    "%11.6f%s%n",
                    Long.parseLong(line.substring(0, blank)) / 1e6,
                    line.substring(blank));
              });
      return 0;
    }
  }
}
