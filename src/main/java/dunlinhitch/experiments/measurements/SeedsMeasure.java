package dunlinhitch.experiments.measurements;

import dunlinhitch.experiments.simulation.Days;
import dunlinhitch.experiments.simulation.Defect;
import java.io.PrintStream;
import java.util.Locale;

/**
 * How many drawn days of 60 s, three brokers and 18 stores, are played a minute; and in how many
 * seeds each defect put in on purpose is found.
 */
final class SeedsMeasure implements Measures.Measure {
  private static final int MOST = 200;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    int seeds = quick ? 100 : 1_000;
    Days.search(seed + 100_000, 16, Defect.NONE, false); // compiled before it counts
    long begin = System.nanoTime();
    Days.SearchResult found = Days.search(seed, seeds, Defect.NONE, false);
    double took = (System.nanoTime() - begin) / 1e9;
    out.printf(
        Locale.ROOT,
        "%d seeds in %.1f s: %.0f seeds a minute, %.0f simulated seconds a second, %d steps, worth %.3f, %d breaches%n",
        found.played(),
        took,
        found.played() / took * 60,
        found.played() * 60 / took,
        found.steps(),
        found.meanShare(),
        found.violations().size());
    found.violations().stream()
        .limit(5)
        .forEach(
            r ->
                out.printf(
                    "seed %d: %s (%s)%n",
                    r.day().seed(), r.violation().rule(), r.violation().subject()));
    out.printf("%-20s %6s  %s%n", "defect put in", "seeds", "found as");
    int missed = 0;
    for (Defect defect : Defect.values()) {
      if (defect != Defect.NONE) {
        int needed = 0;
        String rule = "not found";
        for (int i = 0; i < MOST && rule.equals("not found"); i += 8) {
          Days.SearchResult some = Days.search(seed + i, 8, defect, false);
          if (!some.violations().isEmpty()) {
            rule = some.violations().get(0).violation().rule();
            needed = (int) (some.violations().get(0).day().seed() - seed + 1);
          }
        }
        missed += rule.equals("not found") ? 1 : 0;
        out.printf("%-20s %6s  %s%n", defect, needed == 0 ? "-" : String.valueOf(needed), rule);
      }
    }
    out.printf("%d defects not found within %d seeds%n", missed, MOST);
    return new Measures.Verdict(
        "minutes-for-1000-seeds",
        missed > 0 || !found.violations().isEmpty() ? 99 : took / 60 * 1_000 / found.played(),
        "min",
        5,
        true);
  }
}
