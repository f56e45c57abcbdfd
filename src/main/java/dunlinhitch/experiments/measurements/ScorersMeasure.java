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
import dunlinhitch.scoring.shipped.StorePace;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.function.Supplier;

/**
 * Scorers on a model: stores that are slower than they report, with Graham's rule alone, a scorer
 * at each broker, and weights that the brokers share; a new broker; whether load swings from store
 * to store; and what a decision costs. The verdict is the figure that comes closest to its bound.
 */
final class ScorersMeasure implements Measures.Measure {
  private static final long SECOND_US = 1_000_000;
  private static final ScoringSettings RULE = ScoringSettings.STANDARD;
  private static final ScoringSettings NAIVE =
      new ScoringSettings(
          WeightMergeSettings.STANDARD,
          DampingSettings.NAIVE,
          RULE.roundUs(),
          RULE.maxAttemptsPerRound());
  private static final double COST_NS = 5_000;
  private double worst;

  /** What a hasty author would write: the newest mean latency, shared and believed as it is. */
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
      List<Judgement> said = new ArrayList<>();
      for (Candidate c : round.candidates()) {
        double times =
            c.endings().stream()
                .mapToDouble(e -> (double) e.tookUs() / Math.max(1, e.foreseenUs()))
                .average()
                .orElse(1);
        FleetWeight fleet = c.fleet();
        said.add(
            new Judgement(
                fleet.evidence() > 0 ? fleet.weight() : Math.max(1e-3, times),
                Math.max(1e-3, times),
                c.endings().size()));
      }
      return said;
    }
  }

  @Override
  public Measures.Verdict run(long seed, boolean quick, PrintStream out) {
    worst = 0;
    for (long one = seed; one < seed + (quick ? 1 : 3); one++) {
      worth(out, one, quick);
    }
    herd(out, seed, quick);
    cost(out, seed, quick);
    return new Measures.Verdict("figure-by-its-bound-at-worst", worst, "of 1", 1, true);
  }

  private void figure(double value, double bound) {
    worst = Math.max(worst, value / bound);
  }

  private void worth(PrintStream out, long seed, boolean quick) {
    long joinUs = (quick ? 30 : 60) * SECOND_US;
    long endUs = joinUs + 15 * SECOND_US;
    out.printf(
        "%n10 brokers, 60 stores in cells of six, a sixth 4 to 8 times slower than they report, load 0.7, seed %d%n",
        seed);
    out.printf(
        "%-26s %10s %10s %14s %14s%n", "", "worth", "p99 ms", "newcomer worth", "newcomer p99");
    double[][] all = new double[3][];
    String[] names = {"Graham alone", "store-pace, each for itself", "store-pace, shared"};
    for (int i = 0; i < names.length; i++) {
      Supplier<Scorer> scorer = i == 0 ? null : StorePace::new;
      ScorerSimulation world =
          new ScorerSimulation(
              new ScorerSimulation.Plan(
                  10, 10, 6, 20_000, 1.0 / 6, 0.7, scorer, RULE, i == 2, false, 2 * SECOND_US),
              seed);
      world.playTo(joinUs);
      world.join();
      world.playTo(endUs);
      long newUs = joinUs + 10 * SECOND_US;
      all[i] =
          new double[] {
            world.worth(10 * SECOND_US, joinUs, false),
            world.p99(10 * SECOND_US, joinUs, false),
            world.worth(joinUs, newUs, true),
            world.p99(joinUs, newUs, true)
          };
      out.printf(
          Locale.ROOT,
          "%-26s %10.4f %10.1f %14.4f %14.1f%n",
          names[i],
          all[i][0],
          all[i][1] / 1e3,
          all[i][2],
          all[i][3] / 1e3);
    }
    figure(all[0][0], all[2][0]);
    figure(all[2][1], all[0][1]);
    figure(all[2][3], all[1][3]);
  }

  /** One cell of six stores, one of them slow; weights up to 2 s old. */
  private void herd(PrintStream out, long seed, boolean quick) {
    long endUs = (quick ? 25 : 60) * SECOND_US;
    double more =
        Math.expm1(DampingSettings.STANDARD.maxChangeWithin(2 * SECOND_US, RULE.roundUs()));
    out.printf(
        Locale.ROOT,
        "%nload of a store from second to second, rms by its mean; damped: at most %.2f above Graham alone%n",
        more);
    out.printf(
        "%8s %14s %16s %16s %16s %16s%n",
        "brokers",
        "Graham alone",
        "newest, naive",
        "newest, damped",
        "pace, naive",
        "pace, damped");
    for (int brokers : new int[] {3, 30, 100}) {
      double[] swing = new double[5];
      for (int i = 0; i < swing.length; i++) {
        Supplier<Scorer> scorer = i == 0 ? null : i < 3 ? Newest::new : StorePace::new;
        boolean naive = i == 1 || i == 3;
        ScorerSimulation world =
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
        world.playTo(endUs);
        swing[i] = world.swing(endUs / 2, endUs);
      }
      out.printf(
          Locale.ROOT,
          "%8d %14.3f %16.3f %16.3f %16.3f %16.3f%n",
          brokers,
          swing[0],
          swing[1],
          swing[2],
          swing[3],
          swing[4]);
      figure(Math.max(swing[2], swing[4]) - swing[0], more);
    }
  }

  /**
   * Least of ten by predicted work, with the table and without; and a round on the loop in its
   * place.
   */
  private void cost(PrintStream out, long seed, boolean quick) {
    SplittableRandom random = new SplittableRandom(seed);
    Scoring scoring =
        new Scoring(
            "n",
            new ScorerIdentity("store-pace", "1", "{}"),
            RULE,
            List.of(new Scoring.QueryClass("a", 400_000)),
            seed);
    List<EndpointSnapshot> sights = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      sights.add(
          new EndpointSnapshot(
              i, "s" + i, i / 10, "", true, 1, 0, random.nextDouble() * 1e5, List.of(1.0), 0));
    }
    Scorer scorer = new StorePace();
    double round = 0;
    int rounds = quick ? 400 : 2_000;
    for (int r = 0; r < 2 * rounds; r++) {
      long from = System.nanoTime();
      scoring.updateEndpoints(sights);
      List<Round> asked = scoring.rounds(r * 250_000L, r * 250_000L);
      scoring.applyJudgements(r * 250_000L, asked, List.of(scorer.judge(asked.get(0))));
      round += r < rounds ? 0 : System.nanoTime() - from;
      for (int i = 0; i < 200; i++) {
        scoring.onAttemptCompleted(
            "s" + i, 0, new Ending(Ending.Outcome.ANSWERED, r * 250_000L + 20_000, 20_000, 10_000));
      }
    }
    Round ten =
        new Round(
            0, "a", 400_000, scoring.rounds(1L << 40, 1L << 40).get(0).candidates().subList(0, 10));
    double[] loads = random.doubles(4_096).toArray();
    double none = choose(loads, FactorTable.NONE, null, null, quick);
    double table = choose(loads, scoring.factors(), null, null, quick);
    double onLoop = choose(loads, FactorTable.NONE, scorer, ten, quick);
    out.printf(
        Locale.ROOT,
        "%na decision among 10: %.0f ns without, %.0f ns more with the last answer, %.0f ns more if the scorer were asked on"
            + " the loop; a round of 200 stores beside it: %.0f µs%n",
        none,
        table - none,
        onLoop - none,
        round / rounds / 1e3);
    figure(Math.max(1, table - none), COST_NS);
  }

  private static double choose(
      double[] loads, FactorTable table, Scorer scorer, Round ten, boolean quick) {
    int decisions = quick ? 300_000 : 3_000_000;
    long sum = 0;
    long from = 0;
    for (int d = -decisions / 4; d < decisions; d++) {
      from = d == 0 ? System.nanoTime() : from;
      int best = -1;
      double least = 0;
      List<Judgement> said = scorer == null ? null : scorer.judge(ten);
      for (int i = 0; i < 10; i++) {
        double factor = said == null ? table.factor(i, 0) : said.get(i).factor();
        double score = loads[d * 10 + i & 4_095] * factor;
        if (best < 0 || score < least) {
          best = i;
          least = score;
        }
      }
      sum += best;
    }
    double ns = (System.nanoTime() - from) / (double) decisions;
    if (sum < 0) {
      throw new IllegalStateException("nothing was chosen");
    }
    return ns;
  }
}
