package dunlinhitch.experiments.measurements;

import dunlinhitch.experiments.simulation.ScorerSimulation;
import dunlinhitch.scoring.DampingSettings;
import dunlinhitch.scoring.EndpointSnapshot;
import dunlinhitch.scoring.FactorTable;
import dunlinhitch.scoring.ScorerIdentity;
import dunlinhitch.scoring.Scoring;
import dunlinhitch.scoring.ScoringSettings;
import dunlinhitch.scoring.WeightMergeSettings;
import dunlinhitch.scoring.api.Candidate;
import dunlinhitch.scoring.api.Ending;
import dunlinhitch.scoring.api.FleetWeight;
import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import dunlinhitch.scoring.api.Scorer;
import dunlinhitch.scoring.api.ScoringApi;
import dunlinhitch.scoring.shipped.LatencyRatio;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Measures scorers on a simulation. The first table compares Graham's rule without a scorer, a
 * scorer at each broker, and a scorer whose weights the brokers share. Some stores are slower than
 * their load reports state, and a broker joins during the run. The second table shows whether the
 * load oscillates between stores. At the end, the cost of a decision is measured. The verdict is
 * the largest ratio of a figure to its bound.
 */
final class ScorersMeasure implements Measures.Measure {
  private static final long SECOND_US = 1_000_000;
  private static final ScoringSettings RULE = ScoringSettings.STANDARD;
  private static final ScoringSettings NAIVE =
      new ScoringSettings(
          WeightMergeSettings.STANDARD,
          DampingSettings.UNDAMPED,
          RULE.roundUs(),
          RULE.maxAttemptsPerRound());
  private static final double MAX_COST_NS = 5_000;
  private double worst;

  /**
   * A naive scorer. Its weight for a store is the newest mean ratio of actual to predicted latency;
   * shared weights are applied unchanged.
   */
  private static final class Newest implements Scorer {
    @Override
    public int api() {
      return ScoringApi.VERSION;
    }

    @Override
    public String name() {
      return "newest";
    }

    @Override
    public String version() {
      return "1";
    }

    @Override
    public List<Judgement> judge(Round round) {
      List<Judgement> judgements = new ArrayList<>();
      for (Candidate candidate : round.candidates()) {
        double slowdown =
            candidate.endings().stream()
                .mapToDouble(ending -> (double) ending.tookUs() / Math.max(1, ending.foreseenUs()))
                .average()
                .orElse(1);
        FleetWeight fleet = candidate.fleet();
        judgements.add(
            new Judgement(
                fleet.evidence() > 0 ? fleet.weight() : Math.max(1e-3, slowdown),
                Math.max(1e-3, slowdown),
                candidate.endings().size()));
      }
      return judgements;
    }
  }

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    worst = 0;
    for (long runSeed = seed; runSeed < seed + (quick ? 1 : 3); runSeed++) {
      compareScorers(out, runSeed, quick);
    }
    measureLoadSwing(out, seed, quick);
    measureDecisionCost(out, seed, quick);
    return new Measures.Verdict("figure-by-its-bound-at-worst", worst, "of 1", 1, true);
  }

  private void recordFigure(double value, double bound) {
    worst = Math.max(worst, value / bound);
  }

  private void compareScorers(PrintStream out, long seed, boolean quick) {
    long joinUs = (quick ? 30 : 60) * SECOND_US;
    long endUs = joinUs + 15 * SECOND_US;
    out.printf(
        "%n10 brokers, 60 stores in cells of six, one sixth of the stores is 4 to 8 times slower than its load reports state, "
            + "load 0.7, seed %d%nworth: share of the parts that met the latency objective; newcomer: figures of "
            + "a broker that has just joined%n",
        seed);
    out.printf(
        "%-26s %10s %10s %14s %14s%n", "", "worth", "p99 ms", "newcomer worth", "newcomer p99");
    double[][] figures = new double[3][];
    String[] names = {"no scorer", "store-pace, not shared", "store-pace, shared"};
    for (int i = 0; i < names.length; i++) {
      Supplier<Scorer> scorer = i == 0 ? null : LatencyRatio::new;
      ScorerSimulation simulation =
          new ScorerSimulation(
              new ScorerSimulation.Plan(
                  10, 10, 6, 20_000, 1.0 / 6, 0.7, scorer, RULE, i == 2, false, 2 * SECOND_US),
              seed);
      simulation.runUntil(joinUs);
      simulation.addBroker();
      simulation.runUntil(endUs);
      long newcomerEndUs = joinUs + 10 * SECOND_US;
      figures[i] =
          new double[] {
            simulation.shareWithinObjective(10 * SECOND_US, joinUs, false),
            simulation.p99(10 * SECOND_US, joinUs, false),
            simulation.shareWithinObjective(joinUs, newcomerEndUs, true),
            simulation.p99(joinUs, newcomerEndUs, true)
          };
      out.printf(
          Locale.ROOT,
          "%-26s %10.4f %10.1f %14.4f %14.1f%n",
          names[i],
          figures[i][0],
          figures[i][1] / 1e3,
          figures[i][2],
          figures[i][3] / 1e3);
    }
    recordFigure(figures[0][0], figures[2][0]);
    recordFigure(figures[2][1], figures[0][1]);
    recordFigure(figures[2][3], figures[1][3]);
  }

  /**
   * Measures the oscillation of the load in one cell of six stores, one of them slow, with weights
   * up to 2 s old.
   */
  private void measureLoadSwing(PrintStream out, long seed, boolean quick) {
    long endUs = (quick ? 25 : 60) * SECOND_US;
    double maxIncrease =
        Math.expm1(DampingSettings.STANDARD.maxChangeWithin(2 * SECOND_US, RULE.roundUs()));
    out.printf(
        Locale.ROOT,
        "%nvariation of a store's load per second (standard deviation divided by mean)%nnewest, pace: name of the scorer; "
            + "naive, damped: without and with damping; bound: each figure with damping is at most %.2f above the figure without a scorer%n",
        maxIncrease);
    out.printf(
        "%8s %14s %16s %16s %16s %16s%n",
        "brokers", "no scorer", "newest, naive", "newest, damped", "pace, naive", "pace, damped");
    for (int brokers : new int[] {3, 30, 100}) {
      double[] swings = new double[5];
      for (int i = 0; i < swings.length; i++) {
        Supplier<Scorer> scorer = i == 0 ? null : i < 3 ? Newest::new : LatencyRatio::new;
        boolean naive = i == 1 || i == 3;
        ScorerSimulation simulation =
            new ScorerSimulation(
                new ScorerSimulation.Plan(
                    brokers,
                    1,
                    6,
                    2_000,
                    1.0 / 6,
                    0.7,
                    scorer,
                    naive ? NAIVE : RULE,
                    i > 0,
                    naive,
                    2 * SECOND_US),
                seed);
        simulation.runUntil(endUs);
        swings[i] = simulation.loadVariation(endUs / 2, endUs);
      }
      out.printf(
          Locale.ROOT,
          "%8d %14.3f %16.3f %16.3f %16.3f %16.3f%n",
          brokers,
          swings[0],
          swings[1],
          swings[2],
          swings[3],
          swings[4]);
      recordFigure(Math.max(swings[2], swings[4]) - swings[0], maxIncrease);
    }
  }

  /**
   * Measures the time to choose the lowest of ten predicted loads in three variants: without the
   * factor table, with the factor table, and with a call of the scorer on the event loop. Also
   * measures the duration of a scoring round of 200 stores.
   */
  private void measureDecisionCost(PrintStream out, long seed, boolean quick) {
    SplittableRandom random = new SplittableRandom(seed);
    Scoring scoring =
        new Scoring(
            "n",
            new ScorerIdentity("store-pace", "1", "{}"),
            RULE,
            List.of(new Scoring.QueryClass("a", 400_000)),
            seed);
    List<EndpointSnapshot> endpoints = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      endpoints.add(
          new EndpointSnapshot(
              i, "s" + i, i / 10, "", true, 1, 0, random.nextDouble() * 1e5, List.of(1.0), 0));
    }
    Scorer scorer = new LatencyRatio();
    double roundNanos = 0;
    int rounds = quick ? 400 : 2_000;
    for (int pass = 0; pass < 2 * rounds; pass++) {
      long from = System.nanoTime();
      scoring.updateEndpoints(endpoints);
      List<Round> roundInputs = scoring.rounds(pass * 250_000L, pass * 250_000L);
      scoring.applyJudgements(
          pass * 250_000L, roundInputs, List.of(scorer.judge(roundInputs.get(0))));
      roundNanos += pass < rounds ? 0 : System.nanoTime() - from;
      for (int i = 0; i < 200; i++) {
        scoring.onAttemptCompleted(
            "s" + i,
            0,
            new Ending(Ending.Outcome.ANSWERED, pass * 250_000L + 20_000, 20_000, 10_000));
      }
    }
    Round tenCandidates =
        new Round(
            0, "a", 400_000, scoring.rounds(1L << 40, 1L << 40).get(0).candidates().subList(0, 10));
    double[] loads = random.doubles(4_096).toArray();
    double withoutTableNs = choose(loads, FactorTable.NONE, null, null, quick);
    double withTableNs = choose(loads, scoring.factors(), null, null, quick);
    double onLoopNs = choose(loads, FactorTable.NONE, scorer, tenCandidates, quick);
    out.printf(
        Locale.ROOT,
        "%na decision among 10 stores: %.0f ns without a scorer; additionally %.0f ns with the factor table, or %.0f ns with a call "
            + "of the scorer on the event loop; a scoring round of 200 stores on another thread: %.0f µs%n",
        withoutTableNs,
        withTableNs - withoutTableNs,
        onLoopNs - withoutTableNs,
        roundNanos / rounds / 1e3);
    recordFigure(Math.max(1, withTableNs - withoutTableNs), MAX_COST_NS);
  }

  private static double choose(
      double[] loads, FactorTable table, Scorer scorer, Round tenCandidates, boolean quick) {
    int decisions = quick ? 300_000 : 3_000_000;
    long checksum = 0;
    long from = 0;
    for (int decision = -decisions / 4; decision < decisions; decision++) {
      from = decision == 0 ? System.nanoTime() : from;
      int chosen = -1;
      double lowestScore = 0;
      List<Judgement> judgements = scorer == null ? null : scorer.judge(tenCandidates);
      for (int i = 0; i < 10; i++) {
        double factor = judgements == null ? table.factor(i, 0) : judgements.get(i).factor();
        double score = loads[decision * 10 + i & 4_095] * factor;
        if (chosen < 0 || score < lowestScore) {
          chosen = i;
          lowestScore = score;
        }
      }
      checksum += chosen;
    }
    double ns = (System.nanoTime() - from) / (double) decisions;
    if (checksum < 0) {
      throw new IllegalStateException("no candidate was chosen in any decision");
    }
    return ns;
  }
}
