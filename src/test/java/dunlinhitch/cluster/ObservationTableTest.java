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

  private static EndpointObservation observation(
      String observer, long startedMs, long number, long observedUs, int consecutiveFailures) {
    return new EndpointObservation(
        "s", startedMs, observer, number, observedUs, List.of((float) number), consecutiveFailures);
  }

  @Property(tries = 300)
  void mergeOrderAndDuplicatesHaveNoEffect(@ForAll long seed) {
    Random random = new Random(seed);
    List<EndpointObservation> received = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      long number = random.nextInt(8);
      received.add(
          observation(
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
    assertTrue(first.all().size() <= ObservationTable.MAX_OBSERVERS);
  }

  @Test
  void outdatedAndDuplicateObservationsAreDropped() {
    ObservationTable table = new ObservationTable(10, 500_000);
    assertTrue(table.merge(observation("n1", 5, 1, 900_000, 0), NOW));
    assertFalse(table.merge(observation("n1", 5, 1, 900_000, 0), NOW));
    // An observation of an earlier incarnation of the endpoint is dropped.
    assertFalse(table.merge(observation("n2", 4, 9, 950_000, 0), NOW));
    // An observation that exceeds the maximum age is dropped.
    assertFalse(table.merge(observation("n2", 5, 1, 400_000, 0), NOW));
    // An observation of a later incarnation replaces those of the earlier one.
    assertTrue(table.merge(observation("n2", 6, 1, 960_000, 3), NOW));
    assertEquals(List.of("n2"), table.all().stream().map(EndpointObservation::observer).toList());
    assertEquals(1, table.countFailing("s", 3));
    table.expire(NOW + 500_000);
    assertEquals(0, table.countObservers("s"));
  }

  /**
   * An observation with a timestamp in the future counts as made now. Otherwise an observation by a
   * broker whose clock is ahead would be retained in place of later ones.
   */
  @Test
  void observationsFromTheFutureCountAsMadeNow() {
    ObservationTable table = new ObservationTable(10, 500_000);
    assertTrue(table.merge(observation("ahead", 0, 1, 9_000_000, 0), NOW));
    assertTrue(table.merge(observation("n1", 0, 1, NOW + 1, 0), NOW + 1));
    assertEquals("n1", table.latestReport("s", 0, "self").orElseThrow().observer());
    table.expire(NOW + 600_000);
    assertEquals(0, table.countObservers("s"));
  }

  @Test
  void fullTableRejectsFurtherEndpoints() {
    ObservationTable table = new ObservationTable(1, 500_000);
    assertTrue(table.merge(observation("n1", 0, 1, NOW, 0), NOW));
    assertFalse(table.merge(new EndpointObservation("other", 0, "n1", 1, NOW, List.of(), 0), NOW));
    assertEquals(1, table.rejected());
    table.remove("s");
    assertTrue(table.merge(new EndpointObservation("other", 0, "n1", 2, NOW, List.of(), 0), NOW));
  }

  @Test
  void latestReportExcludesTheBrokersOwn() {
    ObservationTable table = new ObservationTable(10, 500_000);
    table.merge(observation("self", 0, 7, 990_000, 0), NOW);
    table.merge(observation("n1", 0, 3, 980_000, 0), NOW);
    assertEquals(3f, table.latestReport("s", 970_000, "self").orElseThrow().values()[0]);
    assertTrue(table.latestReport("s", 980_000, "self").isEmpty());
    assertTrue(table.observedSince("s", 990_000));
    assertFalse(table.observedSince("s", 990_001));
  }
}
