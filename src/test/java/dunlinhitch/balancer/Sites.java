package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.LoadReportField;
import dunlinhitch.balancer.settings.Prices;
import dunlinhitch.balancer.settings.QueryClass;
import dunlinhitch.balancer.settings.Rules;
import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.balancer.settings.ShardLayout;
import dunlinhitch.balancer.settings.Tenant;
import java.util.List;

/**
 * Small sites for tests: two cells, each shard on both, one server a cell unless a test lists more.
 */
final class Sites {
  Idempotency repeat = Idempotency.FREE;
  double floor = 1;
  double need = 1;
  int followUp;
  long dedupUs = 500_000;
  boolean parallel = true;
  boolean cancel = true;
  boolean ask;
  boolean reports = true;
  boolean probes;
  int maxAttempts = 4;
  double ratio = -1;
  double free;
  double overload = 2;
  int brokers = 1;
  long tickUs = 5_000;
  double probePrice;
  int perCall = 1;
  long callUs;
  int inARow = 2;
  double lateWeight;
  double crossing;
  List<Tenant> tenants = List.of();

  Settings build() {
    return new Settings(
        brokers,
        List.of("a", "b"),
        0,
        tickUs,
        List.of(
            new QueryClass(
                "search",
                1_000_000,
                0,
                3_000_000,
                repeat,
                lateWeight,
                dedupUs,
                1,
                false,
                followUp,
                floor,
                need,
                0.9)),
        tenants,
        0.1,
        new ShardLayout(2, inARow, 8, perCall, callUs),
        new Limits(
            maxAttempts, 1000, cancel, probes, parallel, true, 800_000, 250_000, 32, 15_000_000),
        new Rules(
            20_000,
            10_000_000,
            ratio,
            free,
            10_000_000,
            0.2,
            10_000_000,
            overload,
            1_000_000,
            500_000),
        new Prices(crossing, probePrice, 0, 0),
        ask,
        reports && !probes,
        reports,
        reports ? List.of(LoadReportField.OUTSTANDING) : List.of(),
        false);
  }

  static ServerEntry ready(int id, int cell) {
    return new ServerEntry(id, 0, cell, ServerState.READY, 1, 0);
  }

  static ServerEntry fresh(int id, int cell, long startedUs) {
    return new ServerEntry(id, 0, cell, ServerState.READY, 1, startedUs);
  }

  static ServerEntry in(int id, int cell, ServerState state) {
    return new ServerEntry(id, 0, cell, state, 1, 0);
  }
}
