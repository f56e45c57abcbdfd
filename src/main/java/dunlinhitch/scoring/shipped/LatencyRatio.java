package dunlinhitch.scoring.shipped;

import dunlinhitch.scoring.api.Candidate;
import dunlinhitch.scoring.api.Ending;
import dunlinhitch.scoring.api.FleetWeight;
import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import dunlinhitch.scoring.api.Scorer;
import dunlinhitch.scoring.api.ScoringApi;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Estimates the ratio of actual to predicted latency of an endpoint. The ratio exceeds 1 if the
 * load report is wrong or the machine is slower than others. The ratio observed by this broker is
 * shared as a weight. This ratio and the weight of the other brokers are combined into one
 * estimate. The factor is this estimate divided by the geometric mean of the estimates in the cell.
 *
 * <p>Not thread-safe; all calls are made on the scorer's thread.
 */
public final class LatencyRatio implements Scorer {
  /** Half-life of an observation. */
  private static final double HALF_LIFE_US = 30e6;

  /**
   * The prior: number of attempts with ratio 1 that are assumed in addition to the observed ones.
   */
  private static final double PRIOR_ATTEMPTS = 4;

  /** Bound on the absolute logarithm of the ratio of a single attempt. */
  private static final double MAX_LOG_RATIO = Math.log(20);

  /** Exponentially decayed sum and count of the logarithms of ratios. */
  private static final class ObservedRatio {
    private final long startedMs;
    private double sum;
    private double count;
    private long decayedAtUs;

    private ObservedRatio(long startedMs) {
      this.startedMs = startedMs;
    }

    private void decay(long nowUs) {
      double retained =
          count == 0 ? 0 : Math.pow(0.5, Math.max(0, nowUs - decayedAtUs) / HALF_LIFE_US);
      sum *= retained;
      count *= retained;
      decayedAtUs = nowUs;
    }

    private void add(Ending attempt) {
      double logRatio =
          Math.log((double) Math.max(1, attempt.tookUs()) / Math.max(1, attempt.foreseenUs()));
      sum += Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, logRatio));
      count++;
    }

    /** The mean of the prior, this broker's observations and the other brokers' weight. */
    private double combinedMean(FleetWeight fleet) {
      return (sum + fleet.evidence() * Math.log(fleet.weight()))
          / (count + fleet.evidence() + PRIOR_ATTEMPTS);
    }

    private double mean() {
      return count == 0 ? 0 : sum / count;
    }
  }

  private final Map<String, Map<String, ObservedRatio>> ratiosByClass = new HashMap<>();

  @Override
  public int api() {
    return ScoringApi.VERSION;
  }

  @Override
  public String name() {
    return "store-pace";
  }

  @Override
  public String version() {
    return "1";
  }

  @Override
  public List<Judgement> judge(Round round) {
    Map<String, ObservedRatio> ratios =
        ratiosByClass.computeIfAbsent(round.queryClass(), key -> new HashMap<>());
    Set<String> present = new HashSet<>();
    CellMeans cellMeans = new CellMeans();
    List<Double> combinedMeans = new ArrayList<>();
    for (Candidate candidate : round.candidates()) {
      present.add(candidate.store());
      ObservedRatio ratio = update(ratios, candidate, round.nowUs());
      double combinedMean = ratio.combinedMean(candidate.fleet());
      combinedMeans.add(combinedMean);
      cellMeans.add(candidate.cell(), combinedMean);
    }
    ratios.keySet().retainAll(present);
    List<Judgement> judgements = new ArrayList<>();
    for (int index = 0; index < round.candidates().size(); index++) {
      Candidate candidate = round.candidates().get(index);
      ObservedRatio ratio = ratios.get(candidate.store());
      double factor = Math.exp(combinedMeans.get(index) - cellMeans.mean(candidate.cell()));
      judgements.add(new Judgement(factor, Math.exp(ratio.mean()), ratio.count));
    }
    return judgements;
  }

  private static ObservedRatio update(
      Map<String, ObservedRatio> ratios, Candidate candidate, long nowUs) {
    ObservedRatio ratio = ratios.get(candidate.store());
    if (ratio == null || ratio.startedMs != candidate.startedMs()) {
      ratio = new ObservedRatio(candidate.startedMs());
      ratios.put(candidate.store(), ratio);
    }
    ratio.decay(nowUs);
    for (Ending attempt : candidate.endings()) {
      if (attempt.outcome() != Ending.Outcome.FAILED) {
        ratio.add(attempt);
      }
    }
    return ratio;
  }
}
