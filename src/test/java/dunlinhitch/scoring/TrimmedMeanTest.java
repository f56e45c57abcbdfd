package dunlinhitch.scoring;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.scoring.TrimmedMean.WeightReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class TrimmedMeanTest {
  private static final WeightMergeSettings SETTINGS = WeightMergeSettings.STANDARD;

  /**
   * For arbitrary reports of the other brokers, compares the merged weight with and without an
   * arbitrary report of one more broker.
   */
  @Property(tries = 2_000)
  void oneFaultyBrokerMovesAWeightByNoMoreThanTheBound(@ForAll long seed) {
    Random random = new Random(seed);
    List<WeightReport> reports = new ArrayList<>();
    for (int i = random.nextInt(30); i > 0; i--) {
      double value =
          random.nextBoolean() ? random.nextDouble() * 2 - 1 : random.nextBoolean() ? 1 : -1;
      reports.add(
          new WeightReport(
              value * Math.log(4),
              random.nextBoolean()
                  ? SETTINGS.maxEvidence()
                  : random.nextDouble() * SETTINGS.maxEvidence()));
    }
    double lowest = TrimmedMean.of(reports, SETTINGS).weight();
    double highest = lowest;
    for (double falseReport : new double[] {-1, 0, 1}) {
      List<WeightReport> all = new ArrayList<>(reports);
      all.add(new WeightReport(falseReport * Math.log(4), SETTINGS.maxEvidence()));
      double weight = TrimmedMean.of(all, SETTINGS).weight();
      lowest = Math.min(lowest, weight);
      highest = Math.max(highest, weight);
    }
    assertTrue(
        Math.log(highest / lowest) <= SETTINGS.maxInfluence() + 1e-9,
        lowest + " is the lowest merged weight, the highest is " + highest);
  }
}
