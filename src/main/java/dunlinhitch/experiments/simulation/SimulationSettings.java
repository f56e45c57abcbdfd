package dunlinhitch.experiments.simulation;

import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.balancer.settings.Prices;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Rules;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.balancer.settings.ShardLayout;
import java.util.ArrayList;
import java.util.List;

/** The settings of the simulated brokers, like those of a deployment with three brokers. */
final class SimulationSettings {
  /** Number of cells in the shard layout. */
  static final int CELL_COUNT = 6;

  /** Number of shards in the shard layout. */
  static final int SHARD_COUNT = 24;

  /** Number of brokers that run at the same time. */
  static final int BROKER_COUNT = 3;

  private SimulationSettings() {}

  /** Returns the settings, with or without the query class that books slots. */
  static Settings create(boolean bookings) {
    List<QueryClass> classes = new ArrayList<>();
    classes.add(freeSearch());
    if (bookings) {
      classes.add(slotBooking());
    }
    return new Settings(
        BROKER_COUNT,
        List.of("a", "b"),
        0,
        5_000,
        classes,
        List.of(),
        0.1,
        new ShardLayout(CELL_COUNT, 1, SHARD_COUNT, 8, 46_000),
        new Limits(4, 300, true, true, false, true, 500_000, 250_000, 32, 15_000_000),
        slowStartRules(),
        new Prices(0.01, 0.012, 0.11, 0.03),
        false,
        true,
        true,
        List.of(LoadReportField.RECENT_MS, LoadReportField.BACKLOG),
        false);
  }

  private static QueryClass freeSearch() {
    return new QueryClass(
        "free-search",
        1_200_000,
        0,
        3_000_000,
        Idempotency.FREE,
        0.1,
        5_000_000,
        3,
        false,
        0,
        0.7,
        1,
        0.9);
  }

  private static QueryClass slotBooking() {
    return new QueryClass(
        "slot-booking",
        1_500_000,
        0,
        4_000_000,
        Idempotency.GUARDED,
        0.3,
        4_000_000,
        2,
        false,
        0,
        1,
        1,
        0.9);
  }

  private static Rules slowStartRules() {
    return new Rules(
        20_000,
        10_000_000,
        -1,
        0,
        0,
        SimulatedStore.COLD_WEIGHT,
        SimulatedStore.SLOW_START_US,
        SimulatedStore.OVERLOAD_FACTOR,
        SimulatedStore.OVERLOAD_WINDOW_US,
        250_000);
  }
}
