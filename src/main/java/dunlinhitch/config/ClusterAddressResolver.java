package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import dunlinhitch.config.Config.ConfigException;
import dunlinhitch.config.GossipAddresses.Peer;
import java.util.List;

/** Completes a {@code [fleet]} section that names no addresses by the platform's. */
final class ClusterAddressResolver {
  private ClusterAddressResolver() {}

  /**
   * Returns the product's settings with the platform's addresses where its own section names none.
   * If these can not be used, the result has no section: the broker runs without a cluster. The
   * platform's entry under the broker's own name is the address that others reach it at.
   *
   * @param product the product's own settings
   * @param platform the platform's addresses, or null
   * @param brokerName this broker's name
   * @throws ConfigException if the section names no addresses and the platform has none either
   */
  static Product resolve(Product product, GossipAddresses platform, String brokerName) {
    Product.Cluster cluster = product.cluster();
    if (cluster == null || cluster.listen() != null) {
      return product;
    }
    if (platform == null) {
      throw new ConfigException(
          "[fleet] names no listen, and there is no "
              + GossipAddressesReader.LISTEN
              + " here that could stand for it");
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
    if (peers.isEmpty() && platform.all() != null) {
      peers = List.of(platform.all());
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
