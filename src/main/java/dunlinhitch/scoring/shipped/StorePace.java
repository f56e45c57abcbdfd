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
 * Learns how many times longer a store takes than was foreseen: a store that says that it is idle
 * and is not, or whose machine is slower than the others'. What this broker saw is shared; the
 * factor is that together with what the fleet saw, by the mean of the store's cell.
 */
public final class StorePace implements Scorer {
  private static final double HALF_LIFE_US = 30e6;

  /** So many endings that say 1 stand against the first that say otherwise. */
  private static final double DOUBT = 4;

  private static final double MOST = Math.log(20);

  /** Sum of logarithms and of counts, fading together. */
  private static final class Pace {
    private final long startedMs;
    private double sum;
    private double count;
    private long atUs;

    private Pace(long startedMs) {
      this.startedMs = startedMs;
    }

    private void fade(long nowUs) {
      double keep = count == 0 ? 0 : Math.pow(0.5, Math.max(0, nowUs - atUs) / HALF_LIFE_US);
      sum *= keep;
      count *= keep;
      atUs = nowUs;
    }

    private double mean() {
      return count == 0 ? 0 : sum / count;
    }
  }

  private final Map<String, Map<String, Pace>> byClass = new HashMap<>();

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
    Map<String, Pace> paces = byClass.computeIfAbsent(round.queryClass(), c -> new HashMap<>());
    Set<String> there = new HashSet<>();
    Map<Integer, double[]> cells = new HashMap<>();
    List<Double> together = new ArrayList<>();
    for (Candidate c : round.candidates()) {
      there.add(c.store());
      Pace pace =
          paces.compute(
              c.store(),
              (name, p) -> p == null || p.startedMs != c.startedMs() ? new Pace(c.startedMs()) : p);
      pace.fade(round.nowUs());
      for (Ending ending : c.endings()) {
        if (ending.outcome() != Ending.Outcome.FAILED) {
          double times =
              Math.log((double) Math.max(1, ending.tookUs()) / Math.max(1, ending.foreseenUs()));
          pace.sum += Math.max(-MOST, Math.min(MOST, times));
          pace.count++;
        }
      }
      FleetWeight fleet = c.fleet();
      double all =
          (pace.sum + fleet.evidence() * Math.log(fleet.weight()))
              / (pace.count + fleet.evidence() + DOUBT);
      together.add(all);
      double[] sum = cells.computeIfAbsent(c.cell(), cell -> new double[2]);
      sum[0] += all;
      sum[1]++;
    }
    paces.keySet().retainAll(there);
    List<Judgement> said = new ArrayList<>();
    for (int i = 0; i < round.candidates().size(); i++) {
      Candidate c = round.candidates().get(i);
      double[] sum = cells.get(c.cell());
      Pace pace = paces.get(c.store());
      said.add(
          new Judgement(
              Math.exp(together.get(i) - sum[0] / sum[1]), Math.exp(pace.mean()), pace.count));
    }
    return said;
  }
}
