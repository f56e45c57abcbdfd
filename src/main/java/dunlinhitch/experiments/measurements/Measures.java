package dunlinhitch.experiments.measurements;

import java.io.PrintStream;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The registry of measurements by name. Each measurement prints a table and returns a verdict. */
public final class Measures {
  /** A measurement; prints its table and returns a figure with its bound. */
  interface Measure {
    Verdict run(long seed, boolean quick, PrintStream out) throws Exception;
  }

  /**
   * A figure and its bound.
   *
   * @param isUpperBound true for an upper bound, false for a lower one
   */
  record Verdict(String figure, double value, String unit, double bound, boolean isUpperBound) {
    boolean isWithinBound() {
      return isUpperBound ? value <= bound : value >= bound;
    }
  }

  private static final Map<String, Measure> ALL = new LinkedHashMap<>();

  static {
    ALL.put("wheel", new WheelMeasure());
    ALL.put("membership-scale", new MembershipScaleMeasure());
    ALL.put("withdrawal", new WithdrawalMeasure());
    ALL.put("phases", new PhasesMeasure());
    ALL.put("seeds", new SeedsMeasure());
    ALL.put("summaries", new SummariesMeasure());
    ALL.put("fleet-subsets", new FleetSubsetsMeasure());
    ALL.put("fleet-view", new FleetViewMeasure());
    ALL.put("answer-keys", new AnswerKeysMeasure());
    ALL.put("fleet-rig", new FleetRigMeasure());
    ALL.put("scorers", new ScorersMeasure());
  }

  private Measures() {}

  /** Returns the names of all measurements, in the order of the help text. */
  public static List<String> names() {
    return List.copyOf(ALL.keySet());
  }

  /**
   * Runs a measurement; returns true if the figure is within its bound.
   *
   * @param quick true for a short run with fewer cases
   * @throws IllegalArgumentException if no measurement has the name
   */
  public static boolean run(String name, long seed, boolean quick, PrintStream out)
      throws Exception {
    Measure measure = ALL.get(name);
    if (measure == null) {
      throw new IllegalArgumentException(
          "unknown measurement: " + name + "; expected one of " + String.join(", ", names()));
    }
    out.printf(
        Locale.ROOT,
        "%s, seed %d%s, on %d processors, %d MB heap at most, Java %s%n",
        name,
        seed,
        quick ? ", quick" : "",
        Runtime.getRuntime().availableProcessors(),
        Runtime.getRuntime().maxMemory() >> 20,
        System.getProperty("java.version"));
    Verdict verdict = measure.run(seed, quick, out);
    out.printf(
        Locale.ROOT,
        "%s %s %.3f %s bound %.3f %s%n",
        name,
        verdict.figure(),
        verdict.value(),
        verdict.unit(),
        verdict.bound(),
        verdict.isWithinBound() ? "held" : "missed");
    return verdict.isWithinBound();
  }
}
