package dunlinhitch.scoring.shipped;

import dunlinhitch.scoring.api.Candidate;
import dunlinhitch.scoring.api.Ending;
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
 * Computes factors from a peak EWMA of latencies: a slow response raises the estimate of an
 * endpoint immediately, and faster responses let the estimate decay exponentially. The factor is
 * the square root of the ratio of the estimate to the geometric mean of the estimates in its cell.
 * The square root limits the effect of latency, because the wait behind outstanding work is
 * predicted separately. The scorer shares no weights, because a latency depends on the network path
 * as much as on the endpoint.
 *
 * <p>Not thread-safe; all calls are made on the scorer's thread.
 */
public final class PeakLatency implements Scorer {
  /** Name of the parameter with the time constant of the decay, in seconds. */
  private static final String DECAY_PARAMETER = "life";

  private static final double MICROS_PER_SECOND = 1e6;

  /** Exponent of the latency ratio: its square root. */
  private static final double EXPONENT = 0.5;

  private record LatencyEstimate(double latencyUs, long updatedAtUs, long startedMs) {}

  private final Map<String, Map<String, LatencyEstimate>> estimatesByClass = new HashMap<>();
  private double decayTimeUs = 10e6;

  @Override
  public int api() {
    return ScoringApi.VERSION;
  }

  @Override
  public String name() {
    return "peak-latency";
  }

  @Override
  public String version() {
    return "1";
  }

  /** Reads {@code life}: the number of seconds in which a peak decays to 1/e. */
  @Override
  public void begin(Map<String, String> parameters) {
    if (parameters.containsKey(DECAY_PARAMETER)) {
      decayTimeUs = Double.parseDouble(parameters.get(DECAY_PARAMETER)) * MICROS_PER_SECOND;
      if (!(decayTimeUs > 0)) {
        throw new IllegalArgumentException(
            "the parameter life must be a positive number of seconds, got "
                + parameters.get(DECAY_PARAMETER));
      }
    }
  }

  @Override
  public List<Judgement> judge(Round round) {
    Map<String, LatencyEstimate> estimates =
        estimatesByClass.computeIfAbsent(round.queryClass(), key -> new HashMap<>());
    CellMeans cellMeans = new CellMeans();
    Set<String> present = new HashSet<>();
    for (Candidate candidate : round.candidates()) {
      present.add(candidate.store());
      LatencyEstimate estimate = update(estimates.get(candidate.store()), candidate);
      estimates.put(candidate.store(), estimate);
      if (estimate != null) {
        cellMeans.add(candidate.cell(), Math.log(estimate.latencyUs));
      }
    }
    estimates.keySet().retainAll(present);
    List<Judgement> judgements = new ArrayList<>();
    for (Candidate candidate : round.candidates()) {
      LatencyEstimate estimate = estimates.get(candidate.store());
      judgements.add(
          estimate == null
              ? Judgement.NONE
              : Judgement.of(
                  Math.exp(
                      EXPONENT
                          * (Math.log(estimate.latencyUs) - cellMeans.mean(candidate.cell())))));
    }
    return judgements;
  }

  /**
   * Returns the estimate after the attempts of this round; null if there was no attempt at this
   * incarnation of the endpoint.
   */
  private LatencyEstimate update(LatencyEstimate previous, Candidate candidate) {
    boolean sameIncarnation = previous != null && previous.startedMs == candidate.startedMs();
    LatencyEstimate estimate = sameIncarnation ? previous : null;
    for (Ending attempt : candidate.endings()) {
      if (attempt.outcome() != Ending.Outcome.FAILED) {
        double latencyUs = Math.max(average(estimate, attempt), (double) attempt.tookUs());
        estimate =
            new LatencyEstimate(Math.max(1, latencyUs), attempt.atUs(), candidate.startedMs());
      }
    }
    return estimate;
  }

  private double average(LatencyEstimate estimate, Ending attempt) {
    if (estimate == null) {
      return attempt.tookUs();
    }
    double retained = Math.exp((estimate.updatedAtUs - attempt.atUs()) / decayTimeUs);
    return estimate.latencyUs * retained + attempt.tookUs() * (1 - retained);
  }
}
