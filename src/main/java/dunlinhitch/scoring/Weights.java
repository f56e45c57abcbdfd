package dunlinhitch.scoring;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.cluster.ReplicatedMap;
import dunlinhitch.scoring.api.FleetWeight;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Weights of one scorer as the brokers hold them in common, and what they come to: for each store
 * and class the mean of the others' words in logarithms, weighed by evidence that fades, cut at
 * both ends, so that one broker that lies or errs moves it by {@link WeightRule#mostStep} at the
 * most. Words in any order, late or doubled, come to the same. Only what others saw goes into it:
 * own words that come back are never news. Times are of the day's clock.
 */
public final class Weights {
  /** What became of a word. */
  public enum Took {
    NEWS,
    KNOWN,
    OLD,
    FROM_THE_FUTURE,
    CROWDED_OUT,
    OWN,
    OTHER_SCORER,
    BEYOND_BELIEF
  }

  /** A store and class. */
  record Place(String store, String queryClass) {}

  /** One author's say: a logarithm, and how much it counts. */
  record Say(double value, double mass) {}

  private final String self;
  private final ScorerIdentity scorer;
  private final WeightRule rule;
  private final ReplicatedMap<WeightKey, Weight> facts;
  private final Map<Took, Long> counts = new EnumMap<>(Took.class);

  public Weights(String self, ScorerIdentity scorer, WeightRule rule) {
    this.self = self;
    this.scorer = scorer;
    this.rule = rule;
    facts = new ReplicatedMap<>(rule.facts(), WeightKey.ORDER);
  }

  /** A word of another broker, or one that was passed on. */
  public Took told(long dayUs, ReplicatedEntry<WeightKey, Weight> fact) {
    Took took;
    if (fact.origin().equals(self)) {
      took = Took.OWN;
    } else if (!fact.key().scorer().equals(scorer)) {
      took = Took.OTHER_SCORER;
    } else if (!fact.value().believable(rule)) {
      took = Took.BEYOND_BELIEF;
    } else {
      took = Took.valueOf(facts.merge(dayUs, fact).name());
    }
    counts.merge(took, 1L, Long::sum);
    return took;
  }

  /**
   * What this broker saw itself; it is passed on only where it says something that the last word
   * did not.
   */
  void saw(long dayUs, String store, String queryClass, Weight weight) {
    if (!weight.believable(rule)) {
      return;
    }
    WeightKey key = new WeightKey(scorer, store, queryClass);
    ReplicatedEntry<WeightKey, Weight> before = facts.of(key, self);
    boolean same =
        before != null
            && before.value().startedMs() == weight.startedMs()
            && dayUs - before.timestampUs() < rule.halfLifeUs() / 4
            && Math.abs(Math.log(weight.value() / before.value().value())) < rule.tellStep()
            && weight.evidence() < 2 * before.value().evidence();
    if (!same && (before == null || dayUs > before.timestampUs())) {
      facts.merge(dayUs, new ReplicatedEntry<>(key, self, dayUs, weight));
    }
  }

  /**
   * What the others say, by store and class; {@code startedMs}: the present life of each store.
   * Evidence of another life is left out.
   */
  Map<Place, FleetWeight> merged(long dayUs, Map<String, Long> startedMs) {
    facts.expire(dayUs);
    Map<Place, List<Say>> says = new HashMap<>();
    for (ReplicatedEntry<WeightKey, Weight> fact : facts.all()) {
      Long started = startedMs.get(fact.key().store());
      boolean counts =
          started != null
              && fact.value().startedMs() == started
              && fact.timestampUs() >= started * 1_000
              && !fact.origin().equals(self);
      if (counts) {
        double mass = rule.faded(fact.value().evidence(), dayUs - fact.timestampUs());
        says.computeIfAbsent(
                new Place(fact.key().store(), fact.key().queryClass()), place -> new ArrayList<>())
            .add(new Say(Math.log(fact.value().value()), mass));
      }
    }
    Map<Place, FleetWeight> merged = new HashMap<>();
    says.forEach((place, all) -> merged.put(place, merge(all, rule)));
    return merged;
  }

  /** The trimmed mean; whoever is missing to the least number of authors counts as saying 1. */
  static FleetWeight merge(List<Say> says, WeightRule rule) {
    double said = says.stream().mapToDouble(Say::mass).sum();
    double all = Math.max(said, rule.authorsLeast() * rule.evidenceMost());
    List<Say> sorted = new ArrayList<>(says);
    sorted.add(new Say(0, all - said));
    sorted.sort(Comparator.comparingDouble(Say::value).thenComparingDouble(Say::mass));
    double from = rule.trim() * all;
    double to = all - from;
    double sum = 0;
    double at = 0;
    for (Say say : sorted) {
      double next = at + say.mass();
      sum += say.value() * Math.max(0, Math.min(next, to) - Math.max(at, from));
      at = next;
    }
    return new FleetWeight(Math.exp(sum / (to - from)), said, says.size());
  }

  /**
   * What came in after that version, own and others', the latest first: what is to be passed on.
   */
  public List<ReplicatedEntry<WeightKey, Weight>> since(long version, int most) {
    return facts.since(version, most);
  }

  public long version() {
    return facts.version();
  }

  public long count(Took took) {
    return counts.getOrDefault(took, 0L);
  }
}
