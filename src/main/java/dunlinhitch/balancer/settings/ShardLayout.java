package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.positive;

/**
 * Which servers hold which shard: shard s is held by the cells (s + j) mod cells, j from 0 to
 * inARow - 1.
 *
 * @param replicationFactor consecutive cells that hold a shard
 * @param partsPerCall parts that one call to a server can contain
 * @param callOverheadUs work of a call itself
 */
public record ShardLayout(
    int cells, int replicationFactor, int shards, int partsPerCall, long callOverheadUs) {
  /** Checks the ranges. */
  public ShardLayout {
    positive("layout.cells", cells);
    positive("layout.inARow", replicationFactor);
    positive("layout.partsPerCall", partsPerCall);
    atLeastZero("layout.callOverheadUs", (double) callOverheadUs);
  }
}
