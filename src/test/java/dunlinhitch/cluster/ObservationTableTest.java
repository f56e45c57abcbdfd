package dunlinhitch.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ObservationTableTest {
  private static final long NOW = 1_000_000;

  private static EndpointObservation signal(
      String author, long startedMs, long number, long seenUs, int failed) {
    return new EndpointObservation(
        "s", startedMs, author, number, seenUs, List.of((float) number), failed);
  }

  @Property(tries = 300)
  void mergeOrderAndDuplicatesDoNotCount(@ForAll long seed) {
    Random random = new Random(seed);
    List<EndpointObservation> received = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      long number = random.nextInt(8);
      received.add(
          signal(
              "n" + random.nextInt(6),
              random.nextInt(2),
              number,
              900_000 + number * 1000 + random.nextInt(3),
              0));
    }
    ObservationTable first = new ObservationTable(10, 500_000);
    received.forEach(observation -> first.merge(observation, NOW));
    List<EndpointObservation> shuffled = new ArrayList<>(received);
    shuffled.addAll(received.subList(0, 10));
    Collections.shuffle(shuffled, random);
    ObservationTable other = new ObservationTable(10, 500_000);
    shuffled.forEach(observation -> other.merge(observation, NOW));
    assertEquals(new HashSet<>(first.all()), new HashSet<>(other.all()));
    assertTrue(first.all().size() <= ObservationTable.MAX_AUTHORS);
  }

  @Test
  void outdatedAndDuplicateObservationsAreDropped() {
    ObservationTable signals = new ObservationTable(10, 500_000);
    assertTrue(signals.merge(signal("n1", 5, 1, 900_000, 0), NOW));
    assertFalse(signals.merge(signal("n1", 5, 1, 900_000, 0), NOW));
    assertFalse(signals.merge(signal("n2", 4, 9, 950_000, 0), NOW)); // of an earlier incarnation
    assertFalse(signals.merge(signal("n2", 5, 1, 400_000, 0), NOW)); // stale
    assertTrue(
        signals.merge(
            signal("n2", 6, 1, 960_000, 3), NOW)); // of a later incarnation, replaces the first
    assertEquals(List.of("n2"), signals.all().stream().map(EndpointObservation::observer).toList());
    assertEquals(1, signals.countFailing("s", 3));
    signals.expire(NOW + 500_000);
    assertEquals(0, signals.countObservers("s"));
  }

  /** Otherwise an observation of a broker whose clock is ahead would outlive all others. */
  @Test
  void observationsFromTheFutureCountAsMadeNow() {
    ObservationTable signals = new ObservationTable(10, 500_000);
    assertTrue(signals.merge(signal("ahead", 0, 1, 9_000_000, 0), NOW));
    assertTrue(signals.merge(signal("n1", 0, 1, NOW + 1, 0), NOW + 1));
    assertEquals("n1", signals.latestReport("s", 0, "self").orElseThrow().observer());
    signals.expire(NOW + 600_000);
    assertEquals(0, signals.countObservers("s"));
  }

  @Test
  void fullTableRejectsFurtherEndpoints() {
    ObservationTable signals = new ObservationTable(1, 500_000);
    assertTrue(signals.merge(signal("n1", 0, 1, NOW, 0), NOW));
    assertFalse(
        signals.merge(new EndpointObservation("other", 0, "n1", 1, NOW, List.of(), 0), NOW));
    assertEquals(1, signals.rejected());
    signals.remove("s");
    assertTrue(signals.merge(new EndpointObservation("other", 0, "n1", 2, NOW, List.of(), 0), NOW));
  }

  @Test
  void latestReportExcludesTheBrokersOwn() {
    ObservationTable signals = new ObservationTable(10, 500_000);
    signals.merge(signal("self", 0, 7, 990_000, 0), NOW);
    signals.merge(signal("n1", 0, 3, 980_000, 0), NOW);
    assertEquals(3f, signals.latestReport("s", 970_000, "self").orElseThrow().values()[0]);
    assertTrue(signals.latestReport("s", 980_000, "self").isEmpty());
    assertTrue(signals.observedSince("s", 990_000));
    assertFalse(signals.observedSince("s", 990_001));
  }
}
