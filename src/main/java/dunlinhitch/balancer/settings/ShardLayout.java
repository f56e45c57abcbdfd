package dunlinhitch.balancer.settings;

import static dunlinhitch.balancer.settings.SettingsValidation.atLeastZero;
import static dunlinhitch.balancer.settings.SettingsValidation.positive;

/** Shard s is held by the cells (s + j) mod cells, j from 0 to inARow - 1. */
public record ShardLayout(
    int cells, int inARow, int shards, int partsPerCall, long callOverheadUs) {
  public ShardLayout {
    positive("layout.cells", cells);
    positive("layout.inARow", inARow);
    positive("layout.partsPerCall", partsPerCall);
    atLeastZero("layout.callOverheadUs", (double) callOverheadUs);
  }
}
