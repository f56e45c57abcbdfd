package dunlinhitch.scoring;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.cluster.ReplicatedMap;
import dunlinhitch.scoring.TrimmedMean.WeightReport;
import dunlinhitch.scoring.api.FleetWeight;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * This broker's replica of the weights that the brokers give to endpoints by one scorer.
 *
 * <p>The merged weight of a target is the trimmed mean of the other brokers' weights; it does not
 * depend on the order of entries, nor on delays and duplicates. A broker's own entries are never
 * merged into what it reads, so that evidence is counted once.
 *
 * <p>Pure: no clock, I/O or threads. Not thread-safe. Times are in microseconds of the wall clock.
 */
public final class SharedWeights {
  /** What a received entry came to; the first five are those of {@link ReplicatedMap}. */
  public enum MergeResult {
    /** It replaced an older entry of its origin, or was its first. */
    NEWS,
    /** It was present already. */
    KNOWN,
    /** It was older than the entry present, or expired. */
    OLD,
    /** Its timestamp was ahead of this broker's clock by more than the clock skew allowed. */
    FROM_THE_FUTURE,
    /** A size limit of the map left no place for it. */
    CROWDED_OUT,
    /** Its origin was this broker. */
    OWN,
    /** Its scorer was another one, or of another version or other parameters. */
    OTHER_SCORER,
    /** Its value was outside of the bounds that each correct broker keeps. */
    BEYOND_BELIEF
  }

  /** An own entry is refreshed after this fraction of the half-life even if nothing has changed. */
  private static final int REFRESHES_PER_HALF_LIFE = 4;

  /** An own entry is refreshed if its evidence has grown by this factor. */
  private static final int EVIDENCE_GROWTH = 2;

  private static final long MICROS_PER_MILLI = 1_000;

  private final String self;
  private final ScorerIdentity scorer;
  private final WeightMergeSettings rule;
  private final ReplicatedMap<WeightKey, Weight> entries;
  private final Map<MergeResult, Long> counts = new EnumMap<>(MergeResult.class);

  /**
   * Creates an empty replica.
   *
   * @param self name of this broker, the origin of its own entries
   * @param scorer the only scorer whose weights are merged
   */
  public SharedWeights(String self, ScorerIdentity scorer, WeightMergeSettings rule) {
    this.self = self;
    this.scorer = scorer;
    this.rule = rule;
    entries = new ReplicatedMap<>(rule.mapSettings(), WeightKey.ORDER);
  }

  /** Merges an entry received by gossip, from its origin or forwarded. */
  public MergeResult merge(long dayUs, ReplicatedEntry<WeightKey, Weight> entry) {
    MergeResult result = mergeUncounted(dayUs, entry);
    counts.merge(result, 1L, Long::sum);
    return result;
  }

  private MergeResult mergeUncounted(long dayUs, ReplicatedEntry<WeightKey, Weight> entry) {
    if (entry.origin().equals(self)) {
      return MergeResult.OWN;
    }
    if (!entry.key().scorer().equals(scorer)) {
      return MergeResult.OTHER_SCORER;
    }
    if (!entry.value().isValid(rule)) {
      return MergeResult.BEYOND_BELIEF;
    }
    return MergeResult.valueOf(entries.merge(dayUs, entry).name());
  }

  /** Records this broker's own weight; unless it differs enough from the last, nothing changes. */
  void recordOwn(long dayUs, WeightTarget target, Weight weight) {
    if (!weight.isValid(rule)) {
      return;
    }
    WeightKey key = new WeightKey(scorer, target.store(), target.queryClass());
    ReplicatedEntry<WeightKey, Weight> previous = entries.of(key, self);
    if (previous != null
        && (dayUs <= previous.timestampUs() || isStillAccurate(previous, dayUs, weight))) {
      return;
    }
    entries.merge(dayUs, new ReplicatedEntry<>(key, self, dayUs, weight));
  }

  private boolean isStillAccurate(
      ReplicatedEntry<WeightKey, Weight> entry, long dayUs, Weight weight) {
    Weight previous = entry.value();
    return previous.startedMs() == weight.startedMs()
        && dayUs - entry.timestampUs() < rule.halfLifeUs() / REFRESHES_PER_HALF_LIFE
        && Math.abs(Math.log(weight.value() / previous.value())) < rule.updateThreshold()
        && weight.evidence() < EVIDENCE_GROWTH * previous.evidence();
  }

  /**
   * The merged weights of the other brokers.
   *
   * @param startedMs start of the present incarnation by endpoint; evidence of another incarnation
   *     or of an endpoint that is not in it is ignored
   */
  Map<WeightTarget, FleetWeight> merged(long dayUs, Map<String, Long> startedMs) {
    entries.expire(dayUs);
    Map<WeightTarget, List<WeightReport>> reports = new HashMap<>();
    for (ReplicatedEntry<WeightKey, Weight> entry : entries.all()) {
      if (isRelevant(entry, startedMs.get(entry.key().store()))) {
        double evidence = rule.decayed(entry.value().evidence(), dayUs - entry.timestampUs());
        reports
            .computeIfAbsent(
                new WeightTarget(entry.key().store(), entry.key().queryClass()),
                target -> new ArrayList<>())
            .add(new WeightReport(Math.log(entry.value().value()), evidence));
      }
    }
    Map<WeightTarget, FleetWeight> merged = new HashMap<>();
    reports.forEach((target, all) -> merged.put(target, TrimmedMean.of(all, rule)));
    return merged;
  }

  private boolean isRelevant(ReplicatedEntry<WeightKey, Weight> entry, Long startedMs) {
    return startedMs != null
        && entry.value().startedMs() == startedMs
        && entry.timestampUs() >= startedMs * MICROS_PER_MILLI
        && !entry.origin().equals(self);
  }

  /** At most {@code limit} entries changed after that version, of all origins, the latest first. */
  public List<ReplicatedEntry<WeightKey, Weight>> since(long version, int limit) {
    return entries.since(version, limit);
  }

  /** A number that rises with each change. */
  public long version() {
    return entries.version();
  }

  /** How many received entries came to this result. */
  public long count(MergeResult result) {
    return counts.getOrDefault(result, 0L);
  }
}
