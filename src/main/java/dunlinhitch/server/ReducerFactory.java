package dunlinhitch.server;

import dunlinhitch.balancer.settings.ShardLayout;
import dunlinhitch.config.Config;
import dunlinhitch.config.Product;
import dunlinhitch.core.ClusterIdentity;
import dunlinhitch.core.Reducer;
import dunlinhitch.endpoints.EndpointRegistrySettings;
import dunlinhitch.twophase.TwoPhaseSettings;
import java.util.List;

/** Creates the reducer of a broker from its configuration. */
final class ReducerFactory {
  private ReducerFactory() {}

  /**
   * Creates a reducer.
   *
   * @param identity this broker's identity in its cluster, or null if it belongs to none
   * @param startUs earliest time of the reducer's first turn, in microseconds
   */
  static Reducer create(Config config, ClusterIdentity identity, long startUs) {
    return new Reducer(
        config.settings(),
        registrySettings(config),
        twoPhaseSettings(config),
        identity,
        config.seed(),
        startUs);
  }

  /**
   * Returns the settings of the endpoint registry. If the product's settings file contains no times
   * for them, returns null, and the defaults apply.
   */
  private static EndpointRegistrySettings registrySettings(Config config) {
    Product.MembershipTimes times = config.product().membership();
    if (times == null) {
      return null;
    }
    ShardLayout layout = config.settings().layout();
    return EndpointRegistrySettings.of(layout.cells(), layout.replicationFactor())
        .withTimes(
            times.lingerUs(),
            times.staleForUs(),
            times.returnDelayUs(),
            times.maxReturnDelayUs(),
            times.calmUs());
  }

  private static List<TwoPhaseSettings> twoPhaseSettings(Config config) {
    return config.product().phases().isEmpty() ? List.of() : TwoPhaseSettingsFactory.create(config);
  }
}
