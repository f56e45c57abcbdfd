package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.positive;

/**
 * The assignment of shards to cells: shard s is held by the cells (s + j) mod cells, for j from 0
 * to replicationFactor - 1.
 *
 * @param replicationFactor number of consecutive cells that hold a shard
 * @param partsPerCall parts that one call to a server can contain
 * @param callOverheadUs work of a call in addition to that of its parts
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
