package dunlinhitch.experiments.measurements;

import dunlinhitch.experiments.simulation.Defect;
import dunlinhitch.experiments.simulation.SimulationSchedules;
import java.io.PrintStream;
import java.util.Locale;

/**
 * Measures how many random schedules of 60 s, with three brokers and 18 stores, are simulated per
 * minute, and how many seeds are needed to detect each injected defect.
 */
final class SeedsMeasure implements Measures.Measure {
  private static final int MAX_SEEDS = 200;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    int seeds = quick ? 100 : 1_000;
    // Warm-up run, so that the timed run uses compiled code.
    SimulationSchedules.search(seed + 100_000, 16, Defect.NONE, false);
    long startNanos = System.nanoTime();
    SimulationSchedules.SearchResult result =
        SimulationSchedules.search(seed, seeds, Defect.NONE, false);
    double elapsedS = (System.nanoTime() - startNanos) / 1e9;
    out.printf(
        Locale.ROOT,
        "%d seeds in %.1f s: %.0f seeds per minute, %.0f simulated seconds per second, %d steps, served on average %.3f of the "
            + "offered weight, %d violations%n",
        result.played(),
        elapsedS,
        result.played() / elapsedS * 60,
        result.played() * 60 / elapsedS,
        result.steps(),
        result.meanShare(),
        result.violations().size());
    result.violations().stream()
        .limit(5)
        .forEach(
            run ->
                out.printf(
                    "seed %d: %s (%s)%n",
                    run.schedule().seed(), run.violation().rule(), run.violation().subject()));
    out.printf("%-20s %6s  %s%n", "injected defect", "seeds", "reported violation");
    int missed = 0;
    for (Defect defect : Defect.values()) {
      if (defect != Defect.NONE) {
        int seedsNeeded = 0;
        String rule = "not found";
        for (int i = 0; i < MAX_SEEDS && rule.equals("not found"); i += 8) {
          SimulationSchedules.SearchResult batch =
              SimulationSchedules.search(seed + i, 8, defect, false);
          if (!batch.violations().isEmpty()) {
            rule = batch.violations().get(0).violation().rule();
            seedsNeeded = (int) (batch.violations().get(0).schedule().seed() - seed + 1);
          }
        }
        missed += rule.equals("not found") ? 1 : 0;
        out.printf(
            "%-20s %6s  %s%n", defect, seedsNeeded == 0 ? "-" : String.valueOf(seedsNeeded), rule);
      }
    }
    out.printf("%d defects not found within %d seeds%n", missed, MAX_SEEDS);
    return new Measures.Verdict(
        "minutes-for-1000-seeds",
        missed > 0 || !result.violations().isEmpty() ? 99 : elapsedS / 60 * 1_000 / result.played(),
        "min",
        5,
        true);
  }
}
