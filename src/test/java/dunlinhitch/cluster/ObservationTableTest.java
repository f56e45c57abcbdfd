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

  /** In any order, any number of times: the same is held. */
  @Property(tries = 300)
  void heardInAnyOrderTheSameIsHeld(@ForAll long seed) {
    Random random = new Random(seed);
    List<EndpointObservation> told = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      long number = random.nextInt(8);
      told.add(
          signal(
              "n" + random.nextInt(6),
              random.nextInt(2),
              number,
              900_000 + number * 1000 + random.nextInt(3),
              0));
    }
    ObservationTable one = new ObservationTable(10, 500_000);
    told.forEach(s -> one.take(s, NOW));
    List<EndpointObservation> again = new ArrayList<>(told);
    again.addAll(told.subList(0, 10));
    Collections.shuffle(again, random);
    ObservationTable other = new ObservationTable(10, 500_000);
    again.forEach(s -> other.take(s, NOW));
    assertEquals(new HashSet<>(one.all()), new HashSet<>(other.all()));
    assertTrue(one.all().size() <= ObservationTable.MOST_AUTHORS);
  }

  @Test
  void whatIsOfAnEarlierLifeStaleOrKnownIsNoNews() {
    ObservationTable signals = new ObservationTable(10, 500_000);
    assertTrue(signals.take(signal("n1", 5, 1, 900_000, 0), NOW));
    assertFalse(signals.take(signal("n1", 5, 1, 900_000, 0), NOW));
    assertFalse(signals.take(signal("n2", 4, 9, 950_000, 0), NOW)); // of the life before
    assertFalse(signals.take(signal("n2", 5, 1, 400_000, 0), NOW)); // stale
    assertTrue(
        signals.take(
            signal("n2", 6, 1, 960_000, 3), NOW)); // of a later one: the first says nothing now
    assertEquals(List.of("n2"), signals.all().stream().map(EndpointObservation::author).toList());
    assertEquals(1, signals.failing("s", 3));
    signals.passed(NOW + 500_000);
    assertEquals(0, signals.seen("s"));
  }

  /** A clock that is ahead would make its word outlive all others. */
  @Test
  void whatComesFromTheFutureCountsAsSeenNow() {
    ObservationTable signals = new ObservationTable(10, 500_000);
    assertTrue(signals.take(signal("ahead", 0, 1, 9_000_000, 0), NOW));
    assertTrue(signals.take(signal("n1", 0, 1, NOW + 1, 0), NOW + 1));
    assertEquals("n1", signals.report("s", 0, "self").orElseThrow().author());
    signals.passed(NOW + 600_000);
    assertEquals(0, signals.seen("s"));
  }

  @Test
  void beyondTheBoundNoFurtherStoreIsKept() {
    ObservationTable signals = new ObservationTable(1, 500_000);
    assertTrue(signals.take(signal("n1", 0, 1, NOW, 0), NOW));
    assertFalse(signals.take(new EndpointObservation("other", 0, "n1", 1, NOW, List.of(), 0), NOW));
    assertEquals(1, signals.refused());
    signals.forget("s");
    assertTrue(signals.take(new EndpointObservation("other", 0, "n1", 2, NOW, List.of(), 0), NOW));
  }

  @Test
  void theReportOfAnotherIsFoundAndNotTheOwn() {
    ObservationTable signals = new ObservationTable(10, 500_000);
    signals.take(signal("self", 0, 7, 990_000, 0), NOW);
    signals.take(signal("n1", 0, 3, 980_000, 0), NOW);
    assertEquals(3f, signals.report("s", 970_000, "self").orElseThrow().values()[0]);
    assertTrue(signals.report("s", 980_000, "self").isEmpty());
    assertTrue(signals.seenSince("s", 990_000));
    assertFalse(signals.seenSince("s", 990_001));
  }
}
