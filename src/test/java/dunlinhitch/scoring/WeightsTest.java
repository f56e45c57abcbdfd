package dunlinhitch.scoring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dunlinhitch.cluster.ReplicatedEntry;
import dunlinhitch.scoring.Weights.Place;
import dunlinhitch.scoring.Weights.Say;
import dunlinhitch.scoring.Weights.Took;
import dunlinhitch.scoring.api.FleetWeight;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class WeightsTest {
  private static final WeightRule RULE = WeightRule.STANDARD;
  private static final ScorerIdentity SCORER = new ScorerIdentity("pace", "1", "{}");
  private static final long NOW = 1_000_000_000L;
  private static final Map<String, Long> LIVES = Map.of("s0", 0L, "s1", 0L, "s2", 500_000L);

  private static ReplicatedEntry<WeightKey, Weight> fact(
      String author, String store, long atUs, double value, double evidence, long startedMs) {
    return new ReplicatedEntry<>(
        new WeightKey(SCORER, store, "a"), author, atUs, new Weight(value, evidence, startedMs));
  }

  private static Weights weights() {
    return new Weights("me", SCORER, RULE);
  }

  private static double merged(Weights weights, String store) {
    return weights
        .merged(NOW, LIVES)
        .getOrDefault(new Place(store, "a"), FleetWeight.NONE)
        .weight();
  }

  @Property(tries = 200)
  void wordsInAnyOrderAndDoubledComeToTheSame(@ForAll long seed) {
    Random random = new Random(seed);
    List<ReplicatedEntry<WeightKey, Weight>> words = new ArrayList<>();
    for (int i = 0; i < 60; i++) {
      long atUs = NOW - random.nextInt(40) * 1_000_000L; // an author says one thing of one moment
      double value = 0.25 + 3.75 * new Random(seed + atUs).nextDouble();
      words.add(fact("n" + random.nextInt(9), "s" + random.nextInt(3), atUs, value, 1 + value, 0));
    }
    Weights one = weights();
    words.forEach(word -> one.told(NOW, word));
    List<ReplicatedEntry<WeightKey, Weight>> again = new ArrayList<>(words);
    again.addAll(words.subList(0, 20));
    Collections.shuffle(again, random);
    Weights other = weights();
    again.forEach(word -> other.told(NOW, word));
    assertEquals(one.merged(NOW, LIVES), other.merged(NOW, LIVES));
  }

  /** Whatever the others say, and whatever one says in place of another thing or of nothing. */
  @Property(tries = 2_000)
  void oneThatLiesMovesNoWeightByMoreThanTheStep(@ForAll long seed) {
    Random random = new Random(seed);
    List<Say> honest = new ArrayList<>();
    for (int i = random.nextInt(30); i > 0; i--) {
      double value =
          random.nextBoolean() ? random.nextDouble() * 2 - 1 : random.nextBoolean() ? 1 : -1;
      honest.add(
          new Say(
              value * Math.log(4),
              random.nextBoolean()
                  ? RULE.evidenceMost()
                  : random.nextDouble() * RULE.evidenceMost()));
    }
    double least = Weights.merge(honest, RULE).weight();
    double most = least;
    for (double lie : new double[] {-1, 0, 1}) {
      List<Say> all = new ArrayList<>(honest);
      all.add(new Say(lie * Math.log(4), RULE.evidenceMost()));
      double weight = Weights.merge(all, RULE).weight();
      least = Math.min(least, weight);
      most = Math.max(most, weight);
    }
    assertTrue(Math.log(most / least) <= RULE.mostStep() + 1e-9, least + " to " + most);
  }

  @Test
  void manyThatAgreeAreBelievedAndFewOnlyInPart() {
    Weights weights = weights();
    for (int i = 0; i < 8; i++) {
      weights.told(NOW, fact("n" + i, "s0", NOW, 4, 64, 0));
    }
    weights.told(NOW, fact("n0", "s1", NOW, 4, 64, 0));
    assertEquals(4, merged(weights, "s0"), 1e-9);
    assertEquals(1, merged(weights, "s1"), 1e-9); // it alone is cut
    weights.told(NOW, fact("n1", "s1", NOW, 4, 64, 0));
    assertEquals(Math.pow(4, 1 / 6.0), merged(weights, "s1"), 1e-9);
  }

  @Test
  void whatDoesNotCountIsLeftOutAndCounted() {
    Weights weights = weights();
    assertEquals(Took.OWN, weights.told(NOW, fact("me", "s0", NOW, 4, 64, 0)));
    ScorerIdentity other = new ScorerIdentity("pace", "2", "{}");
    assertEquals(
        Took.OTHER_SCORER,
        weights.told(
            NOW,
            new ReplicatedEntry<>(
                new WeightKey(other, "s0", "a"), "n1", NOW, new Weight(4, 64, 0))));
    for (Weight wrong :
        List.of(
            new Weight(Double.NaN, 1, 0),
            new Weight(5, 1, 0),
            new Weight(2, 65, 0),
            new Weight(2, Double.NaN, 0),
            new Weight(2, 0, 0),
            new Weight(2, 1, -1))) {
      assertEquals(
          Took.BEYOND_BELIEF,
          weights.told(
              NOW, new ReplicatedEntry<>(new WeightKey(SCORER, "s0", "a"), "n1", NOW, wrong)));
    }
    assertEquals(6, weights.count(Took.BEYOND_BELIEF));
    assertEquals(
        Took.FROM_THE_FUTURE, weights.told(NOW, fact("n1", "s0", NOW + 3_000_000, 4, 64, 0)));
    for (int i = 0; i < 8; i++) {
      weights.told(NOW, fact("n" + i, "s2", NOW, 4, 64, 0)); // of an earlier life
      weights.told(
          NOW, fact("m" + i, "s2", NOW - 600_000_000, 4, 64, 500_000)); // seen before it began
      weights.told(NOW, fact("n" + i, "gone", NOW, 4, 64, 0));
    }
    assertEquals(Map.of(), weights.merged(NOW, LIVES));
  }

  @Test
  void evidenceFadesByHalf() {
    Weights weights = weights();
    weights.told(NOW, fact("n1", "s0", NOW - RULE.halfLifeUs(), 4, 64, 0));
    assertEquals(32, weights.merged(NOW, LIVES).get(new Place("s0", "a")).evidence(), 1e-9);
  }

  /**
   * Own words ride on, but only where they say something new, and what this broker hears of itself
   * changes nothing.
   */
  @Test
  void ownWordsAreToldOnceAndNeverMerged() {
    Weights weights = weights();
    weights.saw(NOW, "s0", "a", new Weight(2, 32, 0));
    long told = weights.version();
    weights.saw(NOW + 1, "s0", "a", new Weight(2.01, 33, 0));
    assertEquals(told, weights.version());
    weights.saw(NOW + 2, "s0", "a", new Weight(3, 33, 0));
    assertEquals(3, weights.since(told, 9).get(0).value().value());
    assertEquals(Map.of(), weights.merged(NOW, LIVES));
  }
}
