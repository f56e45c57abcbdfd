package dunlinhitch.scoring;

import dunlinhitch.scoring.api.FleetWeight;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The merge of the brokers' weights of one target: a trimmed mean of logarithms, weighted by
 * evidence. The trimming bounds the influence of one broker to {@link
 * WeightMergeSettings#maxInfluence}.
 */
final class TrimmedMean {
  /**
   * The report of one origin.
   *
   * @param logWeight logarithm of the reported weight
   * @param evidence decayed evidence that supports it
   */
  record WeightReport(double logWeight, double evidence) {}

  private TrimmedMean() {}

  /**
   * Merges the reports. The total evidence of a merge is at least {@code minOrigins} times {@code
   * maxEvidence}. If the reports have less in total, the difference counts as evidence for a weight
   * of 1.
   */
  static FleetWeight of(List<WeightReport> reports, WeightMergeSettings settings) {
    double reported = reports.stream().mapToDouble(WeightReport::evidence).sum();
    double total = Math.max(reported, settings.minOrigins() * settings.maxEvidence());
    List<WeightReport> sorted = new ArrayList<>(reports);
    sorted.add(new WeightReport(0, total - reported));
    sorted.sort(
        Comparator.comparingDouble(WeightReport::logWeight)
            .thenComparingDouble(WeightReport::evidence));
    double lowerBound = settings.trim() * total;
    double upperBound = total - lowerBound;
    double sum = 0;
    double position = 0;
    for (WeightReport report : sorted) {
      double next = position + report.evidence();
      sum +=
          report.logWeight()
              * Math.max(0, Math.min(next, upperBound) - Math.max(position, lowerBound));
      position = next;
    }
    return new FleetWeight(Math.exp(sum / (upperBound - lowerBound)), reported, reports.size());
  }
}
