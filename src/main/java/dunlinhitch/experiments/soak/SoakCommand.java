package dunlinhitch.experiments.soak;

import dunlinhitch.experiments.testbed.TestBedCommand;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * The command that executes one soak run for each seed of a range and reports violations of the
 * rules.
 */
@Command(
    name = "soak",
    description = "Runs broker processes under random faults; exit code 1 if a rule is violated.",
    mixinStandardHelpOptions = true)
public final class SoakCommand implements Callable<Integer> {
  private static final int MAX_TIMELINE_LINES = 24;
  private static final String SEED_RANGE = "[0-9]{1,9}(-[0-9]{1,9})?";
  private static final int MIN_SECONDS = 2;
  private static final int MAX_SECONDS = 600;

  @Option(
      names = "--seeds",
      defaultValue = "1-5",
      description = "a seed, or a range of seeds such as 1-50 (default: ${DEFAULT-VALUE})")
  private String seeds;

  @Option(
      names = "--seconds",
      defaultValue = "20",
      description = "duration of the load in each run, in seconds (default: ${DEFAULT-VALUE})")
  private int seconds;

  @Override
  public Integer call() throws Exception {
    if (!seeds.matches(SEED_RANGE) || seconds < MIN_SECONDS || seconds > MAX_SECONDS) {
      throw new IllegalArgumentException(
          "--seeds must be a seed or a range such as 1-50, and --seconds must be from "
              + MIN_SECONDS
              + " to "
              + MAX_SECONDS
              + "; got --seeds "
              + seeds
              + " and --seconds "
              + seconds);
    }
    String[] range = seeds.split("-", 2);
    long first = Long.parseLong(range[0]);
    long last = Long.parseLong(range[range.length - 1]);
    Map<SoakRule, Integer> byRule = new EnumMap<>(SoakRule.class);
    Map<SoakFault.Kind, Integer> byKind = new EnumMap<>(SoakFault.Kind.class);
    for (long seed = first; seed <= last; seed++) {
      SoakPlan plan = SoakPlan.draw(seed, seconds);
      plan.faults().forEach(fault -> byKind.merge(fault.kind(), 1, Integer::sum));
      SoakRun.Result result = play(plan);
      List<Observation> seen = result.observations();
      List<SoakChecker.Breach> breaches = SoakChecker.check(plan.limits(), seen);
      long requests = seen.stream().filter(Observation.RequestSent.class::isInstance).count();
      System.out.println(
          "seed " + seed + ": " + requests + " requests, " + breaches.size() + " violations");
      breaches.forEach(breach -> byRule.merge(breach.rule(), 1, Integer::sum));
      if (!breaches.isEmpty()) {
        print(plan, breaches.get(0), result.logLines());
      }
    }
    System.out.println("faults: " + byKind);
    System.out.println("violations: " + byRule);
    return byRule.isEmpty() ? 0 : 1;
  }

  private void print(SoakPlan plan, SoakChecker.Breach breach, List<String> logLines) {
    System.out.println("  " + breach.rule() + ": " + breach.subject());
    breach.timeline().stream()
        .limit(MAX_TIMELINE_LINES)
        .forEach(line -> System.out.println("    " + line));
    logLines.stream()
        .filter(line -> line.contains(breach.subject() + "."))
        .forEach(line -> System.out.println("    broker log: " + line));
    System.out.println(
        "  to repeat the run: experiments soak --seeds "
            + plan.seed()
            + "-"
            + plan.seed()
            + " --seconds "
            + seconds);
  }

  private static SoakRun.Result play(SoakPlan plan) throws Exception {
    Path directory = Files.createTempDirectory("soak");
    try {
      return SoakRun.play(plan, directory);
    } finally {
      TestBedCommand.clear(directory);
    }
  }
}
