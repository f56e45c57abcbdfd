package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Config.ConfigException;
import dunlinhitch.config.GossipAddresses.Peer;
import java.util.List;

/** Completes a {@code [fleet]} section without addresses with the platform's addresses. */
final class ClusterAddressResolver {
  private ClusterAddressResolver() {}

  /**
   * Returns the product's settings. If their section {@code [fleet]} has no listen address, the
   * platform's addresses are added. If the platform's addresses are invalid, the result has no
   * cluster settings, and the broker runs without a cluster. The address advertised to other
   * brokers is the platform's entry with the name of this broker, or else the listen address.
   *
   * @param product the product's own settings
   * @param platform the platform's addresses, or null
   * @param brokerName this broker's name
   * @throws ConfigException if neither the section nor the platform provides addresses
   */
  static Product resolve(Product product, GossipAddresses platform, String brokerName) {
    Product.Cluster cluster = product.cluster();
    if (cluster == null || cluster.listen() != null) {
      return product;
    }
    if (platform == null) {
      throw new ConfigException(
          "[fleet] has no 'listen' directive, and the configuration file has no "
              + GossipAddressesReader.LISTEN
              + " to use instead");
    }
    if (platform.listen() == null) {
      return product.withCluster(null);
    }
    Address advertise = advertisedAddress(platform, brokerName);
    List<Address> peers =
        platform.peers().stream()
            .map(Peer::address)
            .filter(peer -> !peer.equals(advertise))
            .toList();
    if (peers.isEmpty() && platform.sharedAddress() != null) {
      peers = List.of(platform.sharedAddress());
    }
    return product.withCluster(cluster.withAddresses(platform.listen(), advertise, peers));
  }

  private static Address advertisedAddress(GossipAddresses platform, String brokerName) {
    return platform.peers().stream()
        .filter(peer -> peer.name().equals(brokerName))
        .map(Peer::address)
        .findFirst()
        .orElse(platform.listen());
  }
}
