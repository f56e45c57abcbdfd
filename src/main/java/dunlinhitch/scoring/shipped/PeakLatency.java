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
 * Peak EWMA: a store's latency rises at once with a slow answer and falls slowly with quick ones.
 * The factor is its latency by the mean of its cell, by a root, since the wait behind the work that
 * is out is counted already. It shares no weights: a latency is as much the way's as the store's.
 */
public final class PeakLatency implements Scorer {
  private record Seen(double us, long atUs, long startedMs) {}

  private final Map<String, Map<String, Seen>> byClass = new HashMap<>();
  private double lifeUs = 10e6;

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

  /** {@code life}: seconds in which a peak fades e-fold. */
  @Override
  public void begin(Map<String, String> parameters) {
    if (parameters.containsKey("life")) {
      lifeUs = Double.parseDouble(parameters.get("life")) * 1e6;
      if (!(lifeUs > 0)) {
        throw new IllegalArgumentException("life is seconds, above 0");
      }
    }
  }

  @Override
  public List<Judgement> judge(Round round) {
    Map<String, Seen> seen = byClass.computeIfAbsent(round.queryClass(), c -> new HashMap<>());
    Set<String> there = new HashSet<>();
    Map<Integer, double[]> cells = new HashMap<>();
    for (Candidate c : round.candidates()) {
      there.add(c.store());
      Seen before = seen.get(c.store());
      Seen now = before != null && before.startedMs == c.startedMs() ? before : null;
      for (Ending ending : c.endings()) {
        if (ending.outcome() != Ending.Outcome.FAILED) {
          double keep = now == null ? 0 : Math.exp((now.atUs - ending.atUs()) / lifeUs);
          double mean =
              now == null ? ending.tookUs() : now.us * keep + ending.tookUs() * (1 - keep);
          now =
              new Seen(
                  Math.max(1, Math.max(mean, (double) ending.tookUs())),
                  ending.atUs(),
                  c.startedMs());
        }
      }
      seen.put(c.store(), now);
      if (now != null) {
        double[] sum = cells.computeIfAbsent(c.cell(), cell -> new double[2]);
        sum[0] += Math.log(now.us);
        sum[1]++;
      }
    }
    seen.keySet().retainAll(there);
    List<Judgement> said = new ArrayList<>();
    for (Candidate c : round.candidates()) {
      Seen now = seen.get(c.store());
      double[] sum = cells.get(c.cell());
      said.add(
          now == null
              ? Judgement.NONE
              : Judgement.of(Math.exp(0.5 * (Math.log(now.us) - sum[0] / sum[1]))));
    }
    return said;
  }
}
