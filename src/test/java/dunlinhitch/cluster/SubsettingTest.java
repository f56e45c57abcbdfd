package dunlinhitch.cluster;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class SubsettingTest {
  private final Subsetting subsets = new Subsetting(SubsetSettings.STANDARD);

  private static List<Subsetting.MemberView> brokers(int count) {
    List<Subsetting.MemberView> brokers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      brokers.add(new Subsetting.MemberView("n" + i, i % 2 == 0 ? "a" : "b"));
    }
    return brokers;
  }

  private static List<Subsetting.Endpoint> stores(int count) {
    List<Subsetting.Endpoint> stores = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      stores.add(new Subsetting.Endpoint("s" + i, i % 2 == 0 ? "a" : "b"));
    }
    return stores;
  }

  /**
   * The order of the arguments has no effect, subsets have the required size, and the loads are
   * bounded.
   */
  @Property(tries = 300)
  void assignmentIsDeterministicAndBounded(
      @ForAll @IntRange(min = 1, max = 40) int brokers,
      @ForAll @IntRange(min = 1, max = 8) int stores,
      @ForAll long seed) {
    List<Subsetting.MemberView> members = brokers(brokers);
    List<Subsetting.Endpoint> cell = stores(stores);
    Map<String, List<String>> chosen = subsets.of("c", members, cell);
    Collections.shuffle(members, new Random(seed));
    Collections.shuffle(cell, new Random(seed));
    assertEquals(chosen, subsets.of("c", members, cell));
    Map<String, Integer> load = new HashMap<>();
    int size = subsets.size(brokers, stores);
    chosen.forEach(
        (name, order) -> {
          assertEquals(stores, order.stream().distinct().count());
          order.subList(0, size).forEach(store -> load.merge(store, 1, Integer::sum));
        });
    int maxLoad = SubsetSettings.STANDARD.maxLoad(brokers, stores);
    assertTrue(load.values().stream().allMatch(l -> l <= maxLoad), load + " exceeds " + maxLoad);
  }

  /**
   * With 100 brokers and four endpoints in two zones, at least 95 brokers get an endpoint in their
   * zone first.
   */
  @Test
  void firstEndpointIsOfTheBrokersOwnZone() {
    Map<String, List<String>> chosen = subsets.of("c", brokers(100), stores(4));
    long own =
        chosen.entrySet().stream()
            .filter(
                e -> {
                  boolean even = Integer.parseInt(e.getKey().substring(1)) % 2 == 0;
                  return even == (Integer.parseInt(e.getValue().get(0).substring(1)) % 2 == 0);
                })
            .count();
    assertTrue(own >= 95, own + " of 100 brokers have an endpoint of their own zone first");
  }

  /** The broker that is processed last differs between cells. */
  @Test
  void brokerOrderDiffersFromCellToCell() {
    long last =
        java.util.stream.IntStream.range(0, 20)
            .mapToObj(
                cell -> {
                  List<String> order =
                      new ArrayList<>(subsets.of("c" + cell, brokers(8), stores(3)).keySet());
                  return order.get(order.size() - 1);
                })
            .distinct()
            .count();
    assertTrue(last >= 5, last + " different brokers are last in 20 cells");
  }

  @Test
  void sizeDependsOnClusterAndCell() {
    SubsetSettings settings = SubsetSettings.STANDARD;
    // A single broker uses all endpoints.
    assertEquals(3, settings.size(1, 3));
    assertEquals(3, settings.size(2, 3));
    assertEquals(2, settings.size(8, 3));
    assertEquals(8, settings.size(2, 10));
    assertEquals(2, settings.size(100, 10));
    assertEquals(1, settings.size(100, 1));
    assertEquals(0, settings.size(100, 0));
    // 16 assignments to 3 endpoints.
    assertEquals(6, settings.maxLoad(8, 3));
    // 200 assignments to 3 endpoints.
    assertEquals(80, settings.maxLoad(100, 3));
    // 12 assignments to 3 endpoints: a maximum of 4 would leave no spare capacity.
    assertEquals(5, settings.maxLoad(6, 3));
    assertThrows(IllegalArgumentException.class, () -> new SubsetSettings(0, 1.5, 0.2));
    assertThrows(IllegalArgumentException.class, () -> new SubsetSettings(2, 0.5, 0.2));
    assertThrows(IllegalArgumentException.class, () -> new SubsetSettings(2, 1.5, Double.NaN));
  }
}
