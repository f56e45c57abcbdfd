package dunlinhitch.scoring;

import dunlinhitch.scoring.Weights.Place;
import dunlinhitch.scoring.api.Candidate;
import dunlinhitch.scoring.api.Ending;
import dunlinhitch.scoring.api.FleetWeight;
import dunlinhitch.scoring.api.Judgement;
import dunlinhitch.scoring.api.Round;
import dunlinhitch.scoring.api.ScoringApi;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One scorer at one broker: gathers what it is to judge, checks and damps what it says, and keeps
 * the weights that the brokers share. No thread, clock or chance of its own: whoever holds it says
 * what time it is, on a clock that never runs back and on the day's.
 */
public final class Scoring {
  /** A class of queries: its name, and the time in which it is to be answered. */
  public record Kind(String name, long aimUs) {}

  /** What is kept of a store and class from round to round. */
  private static final class Kept {
    private final Deque<Ending> endings = new ArrayDeque<>();

    /** Endings shown, fading: the most evidence that there can be. */
    private double shown;

    private long shownAtUs;
    private double applied;
    private boolean begun;
    private long startedMs;
    private long sinceUs;
  }

  private final ScorerIdentity scorer;
  private final ScoringRule rule;
  private final List<Kind> kinds;
  private final SplittableRandom random;
  private final double ownGain;
  private final long tiltSeed;
  private final Weights weights;
  private final Map<Place, Kept> kept = new HashMap<>();
  private Map<Integer, Sight> sights = new TreeMap<>();
  private FactorTable table = FactorTable.NONE;
  private long held;

  public Scoring(
      String self, ScorerIdentity scorer, ScoringRule rule, List<Kind> kinds, long seed) {
    this.scorer = scorer;
    this.rule = rule;
    this.kinds = List.copyOf(kinds);
    random = new SplittableRandom(seed);
    ownGain = rule.damping().gain() < 1 ? rule.damping().gain() * (0.5 + random.nextDouble()) : 1;
    tiltSeed = random.nextLong();
    weights = new Weights(self, scorer, rule.weights());
  }

  public ScorerIdentity scorer() {
    return scorer;
  }

  public Weights weights() {
    return weights;
  }

  /**
   * All stores that there are; what was kept of others is let go, and what was seen of an earlier
   * life of one says nothing any more.
   */
  public void seen(List<Sight> all) {
    Map<Integer, Sight> told = new TreeMap<>();
    Map<String, Long> lives = new HashMap<>();
    for (Sight sight : all) {
      told.put(sight.server(), sight);
      lives.put(sight.store(), sight.startedMs());
    }
    kept.entrySet()
        .removeIf(e -> !Long.valueOf(e.getValue().startedMs).equals(lives.get(e.getKey().store())));
    sights = told;
  }

  /**
   * An attempt ended; of very many in a round the latest are kept. One that was sent to an earlier
   * life of the store says nothing.
   */
  public void ended(String store, int queryClass, Ending ending) {
    Kept at = kept.get(new Place(store, kinds.get(queryClass).name()));
    if (at != null && ending.atUs() - ending.tookUs() >= at.sinceUs) {
      at.endings.addLast(ending);
      if (at.endings.size() > rule.endingsMost()) {
        at.endings.removeFirst();
      }
    }
  }

  /** What the scorer is asked now, one round for each class; the endings go with it. */
  public List<Round> rounds(long nowUs, long dayUs) {
    Map<String, Long> lives = new HashMap<>();
    sights.values().forEach(sight -> lives.put(sight.store(), sight.startedMs()));
    Map<Place, FleetWeight> merged = weights.merged(dayUs, lives);
    List<Round> rounds = new ArrayList<>();
    for (Kind kind : kinds) {
      List<Candidate> candidates = new ArrayList<>();
      for (Sight s : sights.values()) {
        Place place = new Place(s.store(), kind.name());
        Kept at =
            kept.computeIfAbsent(
                place,
                p -> {
                  Kept fresh = new Kept();
                  fresh.startedMs = s.startedMs();
                  fresh.sinceUs = nowUs;
                  return fresh;
                });
        at.shown = rule.weights().faded(at.shown, nowUs - at.shownAtUs) + at.endings.size();
        at.shownAtUs = nowUs;
        candidates.add(
            new Candidate(
                s.store(),
                s.cell(),
                s.zone(),
                s.near(),
                s.warmth(),
                s.startedMs(),
                s.workUs(),
                s.report(),
                s.reportAgeUs(),
                List.copyOf(at.endings),
                merged.getOrDefault(place, FleetWeight.NONE)));
        at.endings.clear();
      }
      rounds.add(new Round(nowUs, kind.name(), kind.aimUs(), candidates));
    }
    return rounds;
  }

  /**
   * Takes what the scorer said of those rounds: factors go a damped step towards it, weights are
   * passed on. Empty if all is sound, else what is nonsense about it, and then nothing is taken.
   */
  public String judged(long dayUs, List<Round> rounds, List<List<Judgement>> said) {
    for (int k = 0; k < rounds.size(); k++) {
      String wrong = wrong(rounds.get(k), said.get(k));
      if (!wrong.isEmpty()) {
        return wrong;
      }
    }
    Map<Place, Double> factors = new HashMap<>();
    for (int k = 0; k < rounds.size(); k++) {
      Round round = rounds.get(k);
      for (int i = 0; i < round.candidates().size(); i++) {
        Candidate candidate = round.candidates().get(i);
        Place place = new Place(candidate.store(), round.queryClass());
        Kept at = kept.get(place);
        if (at != null && at.startedMs == candidate.startedMs()) {
          take(dayUs, place, at, said.get(k).get(i));
          factors.put(place, Math.exp(at.applied + rule.damping().tilt() * tilt(place)));
        }
      }
    }
    int rows = sights.keySet().stream().mapToInt(id -> id + 1).max().orElse(0);
    double[] table = new double[rows * kinds.size()];
    Arrays.fill(table, 1);
    sights.forEach(
        (server, sight) -> {
          for (int k = 0; k < kinds.size(); k++) {
            table[server * kinds.size() + k] =
                factors.getOrDefault(new Place(sight.store(), kinds.get(k).name()), 1.0);
          }
        });
    this.table = new FactorTable(kinds.size(), table);
    return "";
  }

  private static String wrong(Round round, List<Judgement> said) {
    if (said == null || said.size() != round.candidates().size()) {
      return (said == null ? "no judgements" : said.size() + " judgements")
          + " of "
          + round.candidates().size()
          + " candidates";
    }
    for (Judgement judgement : said) {
      boolean sound =
          judgement != null
              && judgement.factor() > 0
              && Double.isFinite(judgement.factor())
              && judgement.weight() > 0
              && Double.isFinite(judgement.weight())
              && judgement.evidence() >= 0;
      if (!sound) {
        return "the judgement " + judgement;
      }
    }
    return "";
  }

  /**
   * The first of a store is followed in full: it is what the fleet has long settled on, or nothing.
   */
  private void take(long dayUs, Place place, Kept at, Judgement judgement) {
    double factor = hold(judgement.factor());
    held += factor == judgement.factor() ? 0 : 1;
    double way = Math.log(factor) - at.applied;
    double step = rule.damping().step();
    at.applied += at.begun ? Math.max(-step, Math.min(step, way * ownGain)) : way;
    at.begun = true;
    double evidence =
        Math.min(judgement.evidence(), Math.min(at.shown, rule.weights().evidenceMost()));
    weights.saw(
        dayUs,
        place.store(),
        place.queryClass(),
        new Weight(hold(judgement.weight()), evidence, at.startedMs));
  }

  private static double hold(double factor) {
    return Math.max(ScoringApi.LEAST_FACTOR, Math.min(ScoringApi.MOST_FACTOR, factor));
  }

  /** This broker's own leaning about a store, from -1 to 1, the same as long as it runs. */
  private double tilt(Place place) {
    return new SplittableRandom(tiltSeed ^ place.hashCode()).nextDouble() * 2 - 1;
  }

  public FactorTable table() {
    return table;
  }

  /**
   * When the next round is due after one at that moment: brokers that began together do not stay
   * together.
   */
  public long nextRoundUs(long nowUs) {
    return nowUs + (long) (rule.roundUs() * (0.8 + 0.4 * random.nextDouble()));
  }

  /** Factors that lay beyond the bounds. */
  public long held() {
    return held;
  }
}
