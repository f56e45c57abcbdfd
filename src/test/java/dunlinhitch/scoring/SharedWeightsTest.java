package dunlinhitch.scoring;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.scoring.SharedWeights.MergeResult;
import dunlinhitch.scoring.api.FleetWeight;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class SharedWeightsTest {
  private static final WeightMergeSettings SETTINGS = WeightMergeSettings.STANDARD;
  private static final ScorerIdentity SCORER = new ScorerIdentity("pace", "1", "{}");
  private static final long NOW = 1_000_000_000L;
  private static final Map<String, Long> INCARNATIONS = Map.of("s0", 0L, "s1", 0L, "s2", 500_000L);

  private static ReplicatedEntry<WeightKey, Weight> entry(
      String origin, String store, long atUs, double value, double evidence, long startedMs) {
    return new ReplicatedEntry<>(
        new WeightKey(SCORER, store, "a"), origin, atUs, new Weight(value, evidence, startedMs));
  }

  private static SharedWeights weights() {
    return new SharedWeights("me", SCORER, SETTINGS);
  }

  private static double merged(SharedWeights weights, String store) {
    return weights
        .merged(NOW, INCARNATIONS)
        .getOrDefault(new WeightTarget(store, "a"), FleetWeight.NONE)
        .weight();
  }

  @Property(tries = 200)
  void mergeDependsNeitherOnOrderNorOnDuplicates(@ForAll long seed) {
    Random random = new Random(seed);
    List<ReplicatedEntry<WeightKey, Weight>> entries = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      long atUs = NOW - random.nextInt(40) * 1_000_000L;
      // The value is derived from atUs, because a broker never sends two entries with the same
      // timestamp and different values.
      double value = 0.25 + 3.75 * new Random(seed + atUs).nextDouble();
      entries.add(
          entry("n" + random.nextInt(9), "s" + random.nextInt(3), atUs, value, 1 + value, 0));
    }
    SharedWeights first = weights();
    entries.forEach(entry -> first.merge(NOW, entry));
    List<ReplicatedEntry<WeightKey, Weight>> reordered = new ArrayList<>(entries);
    reordered.addAll(entries.subList(0, 20));
    Collections.shuffle(reordered, random);
    SharedWeights other = weights();
    reordered.forEach(entry -> other.merge(NOW, entry));
    assertEquals(first.merged(NOW, INCARNATIONS), other.merged(NOW, INCARNATIONS));
  }

  @Test
  void agreementOfManyBrokersCountsFullyAndOfFewPartially() {
    SharedWeights weights = weights();
    for (int i = 0; i < 8; i++) {
      weights.merge(NOW, entry("n" + i, "s0", NOW, 4, 64, 0));
    }
    weights.merge(NOW, entry("n0", "s1", NOW, 4, 64, 0));
    assertEquals(4, merged(weights, "s0"), 1e-9);
    // The report of a single broker is trimmed off.
    assertEquals(1, merged(weights, "s1"), 1e-9);
    weights.merge(NOW, entry("n1", "s1", NOW, 4, 64, 0));
    assertEquals(Math.pow(4, 1 / 6.0), merged(weights, "s1"), 1e-9);
  }

  @Test
  void irrelevantEntriesAreIgnoredAndCounted() {
    SharedWeights weights = weights();
    assertEquals(MergeResult.OWN, weights.merge(NOW, entry("me", "s0", NOW, 4, 64, 0)));
    ScorerIdentity other = new ScorerIdentity("pace", "2", "{}");
    assertEquals(
        MergeResult.OTHER_SCORER,
        weights.merge(
            NOW,
            new ReplicatedEntry<>(
                new WeightKey(other, "s0", "a"), "n1", NOW, new Weight(4, 64, 0))));
    for (Weight invalid :
        List.of(
            new Weight(Double.NaN, 1, 0),
            new Weight(5, 1, 0),
            new Weight(2, 65, 0),
            new Weight(2, Double.NaN, 0),
            new Weight(2, 0, 0),
            new Weight(2, 1, -1))) {
      assertEquals(
          MergeResult.BEYOND_BELIEF,
          weights.merge(
              NOW, new ReplicatedEntry<>(new WeightKey(SCORER, "s0", "a"), "n1", NOW, invalid)));
    }
    assertEquals(6, weights.count(MergeResult.BEYOND_BELIEF));
    assertEquals(
        MergeResult.FROM_THE_FUTURE,
        weights.merge(NOW, entry("n1", "s0", NOW + 3_000_000, 4, 64, 0)));
    for (int i = 0; i < 8; i++) {
      // Ignored: evidence about an earlier incarnation, evidence that is older than the current
      // incarnation, and evidence about an endpoint that is not listed.
      weights.merge(NOW, entry("n" + i, "s2", NOW, 4, 64, 0));
      weights.merge(NOW, entry("m" + i, "s2", NOW - 600_000_000, 4, 64, 500_000));
      weights.merge(NOW, entry("n" + i, "gone", NOW, 4, 64, 0));
    }
    assertEquals(Map.of(), weights.merged(NOW, INCARNATIONS));
  }

  @Test
  void evidenceHasAHalfLife() {
    SharedWeights weights = weights();
    weights.merge(NOW, entry("n1", "s0", NOW - SETTINGS.halfLifeUs(), 4, 64, 0));
    assertEquals(
        32, weights.merged(NOW, INCARNATIONS).get(new WeightTarget("s0", "a")).evidence(), 1e-9);
  }

  /**
   * A broker's own weight is disseminated only if it has changed by more than the threshold, and it
   * is never merged.
   */
  @Test
  void ownWeightsAreReplicatedOnChangeAndNeverMerged() {
    SharedWeights weights = weights();
    weights.recordOwn(NOW, new WeightTarget("s0", "a"), new Weight(2, 32, 0));
    long version = weights.version();
    weights.recordOwn(NOW + 1, new WeightTarget("s0", "a"), new Weight(2.01, 33, 0));
    assertEquals(version, weights.version());
    weights.recordOwn(NOW + 2, new WeightTarget("s0", "a"), new Weight(3, 33, 0));
    assertEquals(3, weights.since(version, 9).get(0).value().value());
    assertEquals(Map.of(), weights.merged(NOW, INCARNATIONS));
  }
}
