package dunlinhitch.experiments.measurements;

import dunlinhitch.experiments.answerkeys.AnswerKeySimulation;
import dunlinhitch.experiments.answerkeys.AnswerKeySimulation.Mode;
import dunlinhitch.experiments.answerkeys.AnswerKeySimulation.Result;
import dunlinhitch.experiments.answerkeys.AnswerKeySimulation.Setup;
import java.io.PrintStream;
import java.util.Locale;

/**
 * Measures the answer key module in virtual time. The first table compares the fetches from stores
 * without answer keys, with exact keys (equal texts) and with keys by rules. The second table shows
 * the wrong answers under faults, with correct rules and with a rule that becomes incorrect. The
 * verdict is the largest ratio of a figure to its bound.
 */
final class AnswerKeysMeasure implements Measures.Measure {
  private static final double MIN_SAVING_FACTOR = 2;
  private static final int[] CLUSTER_SIZES = {5, 30};
  private double worst;

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    worst = 0;
    int runs = quick ? 1 : 3;
    measureSavings(out, seed, runs, quick ? new double[] {1600} : new double[] {400, 1600});
    measureFaults(out, seed, runs);
    return new Measures.Verdict("figure-by-its-bound-at-worst", worst, "of 1", 1, true);
  }

  private void measureSavings(PrintStream out, long seed, int runs, double[] rates) {
    out.printf(
        "asks: queries; of exact: fetches with exact keys divided by the fetches of the row; trials: queries sent "
            + "to a store to test a rule; again: unnecessary fetches, because the previous answer was still valid; unended: queries without "
            + "exactly one response by their deadline%n"
            + "%8s %8s %-6s %5s %8s %8s %9s %8s %6s %5s %8s %9s %9s%n",
        "brokers",
        "asks/s",
        "keys",
        "seed",
        "asks",
        "fetches",
        "of exact",
        "trials",
        "again",
        "wrong",
        "unended",
        "p50 ms",
        "p99 ms");
    for (int brokers : CLUSTER_SIZES) {
      for (double rate : rates) {
        for (int i = 0; i < runs; i++) {
          measureFetches(out, seed + i, brokers, rate);
        }
      }
    }
  }

  private void measureFaults(PrintStream out, long seed, int runs) {
    out.printf(
        "%nmessages: 1 %% lost, 1 %% duplicated; fetches: 1 %% fail; cut: partition into two halves for 10 s; wrong: "
            + "answers that were computed for another topic or language; bound: largest permitted number of wrong answers; stop s: seconds from the change of the data "
            + "until no broker applies the incorrect rule; old: answers from outdated data; unended: queries without exactly one response by their deadline; rules at the end: number of "
            + "brokers by rule and state%n%8s %-26s %5s %9s %8s %10s %6s %5s %8s  %s%n",
        "brokers",
        "",
        "seed",
        "fetches",
        "wrong",
        "bound",
        "stop s",
        "old",
        "unended",
        "rules at the end");
    for (int brokers : CLUSTER_SIZES) {
      for (int i = 0; i < runs; i++) {
        measureFaultRun(
            out,
            new Setup(seed + i, brokers, Mode.RULES, 1600, 0.01, 0.01, false, false),
            "correct rules");
        measureFaultRun(
            out,
            new Setup(seed + i, brokers, Mode.RULES, 1600, 0.01, 0.01, true, false),
            "correct rules, cut");
        measureFaultRun(
            out,
            new Setup(seed + i, brokers, Mode.RULES, 1600, 0.01, 0.01, false, true),
            "a rule becomes wrong");
        measureFaultRun(
            out,
            new Setup(seed + i, brokers, Mode.RULES, 1600, 0.01, 0.01, true, true),
            "a rule becomes wrong, cut");
      }
    }
  }

  private void recordFigure(double value, double bound) {
    worst = Math.max(worst, bound == 0 ? value > 0 ? 9 : 0 : value / bound);
  }

  /**
   * Measures the fetches saved without faults. At the higher rate, keys by rules must need at most
   * half as many fetches as exact keys.
   */
  private void measureFetches(PrintStream out, long seed, int brokers, double rate) {
    Result none =
        new AnswerKeySimulation(new Setup(seed, brokers, Mode.NONE, rate, 0, 0, false, false))
            .run();
    Result exact =
        new AnswerKeySimulation(new Setup(seed, brokers, Mode.EXACT, rate, 0, 0, false, false))
            .run();
    Result rules =
        new AnswerKeySimulation(new Setup(seed, brokers, Mode.RULES, rate, 0, 0, false, false))
            .run();
    printRow(out, seed, brokers, rate, "none", none, exact);
    printRow(out, seed, brokers, rate, "exact", exact, exact);
    printRow(out, seed, brokers, rate, "rules", rules, exact);
    if (rate > 1000) {
      recordFigure(MIN_SAVING_FACTOR * rules.fetches(), (double) exact.fetches());
    }
    recordFigure((double) rules.p99Us(), 1.05 * none.p99Us());
    recordFigure((double) rules.repeatedFetches(), 0);
    recordFigure(
        (double)
            (rules.wrongAnswers()
                + exact.wrongAnswers()
                + rules.outdatedAnswers()
                + exact.outdatedAnswers()
                + rules.unended()
                + exact.unended()),
        0);
  }

  private static void printRow(
      PrintStream out,
      long seed,
      int brokers,
      double rate,
      String keys,
      Result result,
      Result exact) {
    out.printf(
        Locale.ROOT,
        "%8d %8.0f %-6s %5d %8d %8d %8.2fx %8d %6s %5d %8d %9.1f %9.1f%n",
        brokers,
        rate,
        keys,
        seed,
        result.queries(),
        result.fetches(),
        (double) exact.fetches() / result.fetches(),
        result.trials(),
        keys.equals("rules") ? Long.toString(result.repeatedFetches()) : "-",
        result.wrongAnswers(),
        result.unended(),
        result.p50Us() / 1e3,
        result.p99Us() / 1e3);
  }

  private void measureFaultRun(PrintStream out, Setup setup, String label) {
    Result result = new AnswerKeySimulation(setup).run();
    double bound = setup.ruleBecomesFalse() ? result.wrongAnswersBound() : 0;
    recordFigure((double) result.wrongAnswers(), bound);
    recordFigure((double) (result.outdatedAnswers() + result.unended()), 0);
    out.printf(
        Locale.ROOT,
        "%8d %-26s %5d %9d %8d %10.0f %6s %5d %8d  %s%n",
        setup.brokers(),
        label,
        setup.seed(),
        result.fetches(),
        result.wrongAnswers(),
        bound,
        result.demotedAfterUs() < 0
            ? "-"
            : String.format(Locale.ROOT, "%.2f", result.demotedAfterUs() / 1e6),
        result.outdatedAnswers(),
        result.unended(),
        result.states());
  }
}
