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
 * Builds settings for tests: two cells that both hold every shard, with defaults that a test can
 * override.
 */
final class SettingsBuilder {
  Idempotency idempotency = Idempotency.FREE;
  double floor = 1;
  double need = 1;
  int followUp;
  long dedupWindowUs = 500_000;
  boolean parallelAttempts = true;
  boolean mayCancel = true;
  boolean mustPollServerList;
  boolean loadReports = true;
  boolean healthChecks;
  int maxAttempts = 4;
  double retryRatio = -1;
  double retryBudgetFloor;
  double overloadFactor = 2;
  int brokers = 1;
  long tickUs = 5_000;
  double healthCheckPrice;
  int partsPerCall = 1;
  long callOverheadUs;
  int inARow = 2;
  double lateWeight;
  double crossZonePrice;
  List<Tenant> tenants = List.of();

  Settings build() {
    return new Settings(
        brokers,
        List.of("a", "b"),
        0,
        tickUs,
        List.of(queryClass()),
        tenants,
        0.1,
        new ShardLayout(2, inARow, 8, partsPerCall, callOverheadUs),
        limits(),
        rules(),
        new Prices(crossZonePrice, healthCheckPrice, 0, 0),
        mustPollServerList,
        loadReports && !healthChecks,
        loadReports,
        loadReports ? List.of(LoadReportField.OUTSTANDING) : List.of(),
        false);
  }

  private QueryClass queryClass() {
    return new QueryClass(
        "search",
        1_000_000,
        0,
        3_000_000,
        idempotency,
        lateWeight,
        dedupWindowUs,
        1,
        false,
        followUp,
        floor,
        need,
        0.9);
  }

  private Limits limits() {
    return new Limits(
        maxAttempts,
        1000,
        mayCancel,
        healthChecks,
        parallelAttempts,
        true,
        800_000,
        250_000,
        32,
        15_000_000);
  }

  private Rules rules() {
    return new Rules(
        20_000,
        10_000_000,
        retryRatio,
        retryBudgetFloor,
        10_000_000,
        0.2,
        10_000_000,
        overloadFactor,
        1_000_000,
        500_000);
  }
}
