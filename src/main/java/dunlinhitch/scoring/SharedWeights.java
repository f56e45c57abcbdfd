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
 * This broker's replica of the weights that all brokers' instances of one scorer assign to
 * endpoints.
 *
 * <p>The merged weight of a target is the trimmed mean of the other brokers' weights; it is
 * independent of the order of entries, of delays and of duplicates. The merged weights at a broker
 * exclude its own entries, so that its evidence is counted once.
 *
 * <p>Uses no clock, I/O or threads. Not thread-safe. Times are in microseconds of the wall clock.
 */
public final class SharedWeights {
  /**
   * Result of merging a received entry; the first five constants correspond to the merge results of
   * {@link ReplicatedMap}.
   */
  public enum MergeResult {
    /** The entry replaced an older one of its origin, or was the first one of its origin. */
    NEWS,
    /** The entry was already present. */
    KNOWN,
    /** The entry was older than the existing one, or expired. */
    OLD,
    /**
     * The entry's timestamp was ahead of this broker's clock by more than the permitted clock skew.
     */
    FROM_THE_FUTURE,
    /** The entry was rejected because the map had reached a size limit. */
    CROWDED_OUT,
    /** The entry's origin was this broker. */
    OWN,
    /** The entry's scorer had another name, version or parameters. */
    OTHER_SCORER,
    /** The entry's value was outside the bounds that every correct broker observes. */
    BEYOND_BELIEF
  }

  /**
   * An entry of this broker is refreshed this many times per half-life, even if it has not changed.
   */
  private static final int REFRESHES_PER_HALF_LIFE = 4;

  /** An entry of this broker is refreshed if its evidence has grown by this factor. */
  private static final int EVIDENCE_GROWTH = 2;

  private static final long MICROS_PER_MILLI = 1_000;

  private final String self;
  private final ScorerIdentity scorer;
  private final WeightMergeSettings settings;
  private final ReplicatedMap<WeightKey, Weight> entries;
  private final Map<MergeResult, Long> counts = new EnumMap<>(MergeResult.class);

  /**
   * Creates an empty replica.
   *
   * @param self name of this broker, the origin of its own entries
   * @param scorer the only scorer whose weights are merged
   */
  public SharedWeights(String self, ScorerIdentity scorer, WeightMergeSettings settings) {
    this.self = self;
    this.scorer = scorer;
    this.settings = settings;
    entries = new ReplicatedMap<>(settings.mapSettings(), WeightKey.ORDER);
  }

  /** Merges an entry received by gossip, from its origin or forwarded. */
  public MergeResult merge(long wallClockUs, ReplicatedEntry<WeightKey, Weight> entry) {
    MergeResult result = mergeUncounted(wallClockUs, entry);
    counts.merge(result, 1L, Long::sum);
    return result;
  }

  private MergeResult mergeUncounted(long wallClockUs, ReplicatedEntry<WeightKey, Weight> entry) {
    if (entry.origin().equals(self)) {
      return MergeResult.OWN;
    }
    if (!entry.key().scorer().equals(scorer)) {
      return MergeResult.OTHER_SCORER;
    }
    if (!entry.value().isValid(settings)) {
      return MergeResult.BEYOND_BELIEF;
    }
    return MergeResult.valueOf(entries.merge(wallClockUs, entry).name());
  }

  /**
   * Records this broker's own weight. Has no effect while the previous entry is still accurate and
   * is not due for a refresh.
   */
  void recordOwn(long wallClockUs, WeightTarget target, Weight weight) {
    if (!weight.isValid(settings)) {
      return;
    }
    WeightKey key = new WeightKey(scorer, target.store(), target.queryClass());
    ReplicatedEntry<WeightKey, Weight> previous = entries.of(key, self);
    if (previous != null
        && (wallClockUs <= previous.timestampUs()
            || isStillAccurate(previous, wallClockUs, weight))) {
      return;
    }
    entries.merge(wallClockUs, new ReplicatedEntry<>(key, self, wallClockUs, weight));
  }

  private boolean isStillAccurate(
      ReplicatedEntry<WeightKey, Weight> entry, long wallClockUs, Weight weight) {
    Weight previous = entry.value();
    return previous.startedMs() == weight.startedMs()
        && wallClockUs - entry.timestampUs() < settings.halfLifeUs() / REFRESHES_PER_HALF_LIFE
        && Math.abs(Math.log(weight.value() / previous.value())) < settings.updateThreshold()
        && weight.evidence() < EVIDENCE_GROWTH * previous.evidence();
  }

  /**
   * The merged weights of the other brokers.
   *
   * @param startedMs start of the current incarnation by endpoint; evidence of other incarnations
   *     and of other endpoints is ignored
   */
  Map<WeightTarget, FleetWeight> merged(long wallClockUs, Map<String, Long> startedMs) {
    entries.expire(wallClockUs);
    Map<WeightTarget, List<WeightReport>> reports = new HashMap<>();
    for (ReplicatedEntry<WeightKey, Weight> entry : entries.all()) {
      if (isRelevant(entry, startedMs.get(entry.key().store()))) {
        double evidence =
            settings.decayed(entry.value().evidence(), wallClockUs - entry.timestampUs());
        reports
            .computeIfAbsent(
                new WeightTarget(entry.key().store(), entry.key().queryClass()),
                target -> new ArrayList<>())
            .add(new WeightReport(Math.log(entry.value().value()), evidence));
      }
    }
    Map<WeightTarget, FleetWeight> merged = new HashMap<>();
    reports.forEach((target, all) -> merged.put(target, TrimmedMean.of(all, settings)));
    return merged;
  }

  private boolean isRelevant(ReplicatedEntry<WeightKey, Weight> entry, Long startedMs) {
    return startedMs != null
        && entry.value().startedMs() == startedMs
        && entry.timestampUs() >= startedMs * MICROS_PER_MILLI
        && !entry.origin().equals(self);
  }

  /**
   * At most {@code limit} entries of all origins that changed after the given version, the latest
   * first.
   */
  public List<ReplicatedEntry<WeightKey, Weight>> since(long version, int limit) {
    return entries.since(version, limit);
  }

  /** A version number that increases with each change. */
  public long version() {
    return entries.version();
  }

  /** Number of received entries with this merge result. */
  public long count(MergeResult result) {
    return counts.getOrDefault(result, 0L);
  }
}
