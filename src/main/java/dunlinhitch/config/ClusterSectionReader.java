package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import dunlinhitch.config.syntax.SectionValues;
import java.util.List;

/** Reads the section {@code [fleet]}: this broker's part in a cluster of brokers. */
final class ClusterSectionReader {
  /** Shortest interval of any periodic work of the cluster, in microseconds. */
  private static final long MIN_INTERVAL_US = 20_000;

  private final SectionValues section;

  ClusterSectionReader(SectionValues section) {
    this.section = section;
  }

  /** Reads and checks the section; errors are reported in the order of its directives. */
  Product.Cluster read() {
    Address listen = ProductReader.address(section, "listen");
    List<Address> peers = ProductReader.addresses(section, "peer");
    checkPeers(listen, peers);
    Address advertise = advertisedAddress(listen);
    if (section.count("least") < 1) {
      throw section.error("least", "is 1 or more");
    }
    checkFailureDetection();
    checkHealthChecks();
    checkVersionSkew();
    return new Product.Cluster(
        listen,
        advertise,
        peers,
        (int) Math.min(section.count("least"), Integer.MAX_VALUE),
        section.share("slack"),
        section.durationUs("look"),
        section.durationUs("suspect"),
        section.durationUs("turn"),
        section.durationUs("behind"),
        section.durationUs("shut_out"));
  }

  private void checkPeers(Address listen, List<Address> peers) {
    for (Address peer : peers) {
      if (!peer.isReachable()) {
        throw section.error("peer", "is an IP address and a port: " + peer.hostAndPort());
      }
    }
    if (listen == null) {
      requireAbsentWithoutListen("advertise");
      requireAbsentWithoutListen("peer");
    } else if (peers.isEmpty()) {
      throw section.error(
          "listen",
          "is told without a peer: there must be one where the search for the others begins");
    }
  }

  private void requireAbsentWithoutListen(String name) {
    if (section.has(name)) {
      throw section.error(
          name, "is told without listen: the platform says either all of these or none");
    }
  }

  private Address advertisedAddress(Address listen) {
    Address advertise =
        section.has("advertise") ? ProductReader.address(section, "advertise") : listen;
    if (advertise != null && !advertise.isReachable()) {
      throw section.error(
          section.has("advertise") ? "advertise" : "listen",
          "is an IP address and a port, for the others are told it: " + advertise.hostAndPort());
    }
    return advertise;
  }

  private void checkFailureDetection() {
    requireMinInterval("look");
    if (section.durationUs("suspect") < section.durationUs("look")) {
      throw section.error(
          section.has("suspect") ? "suspect" : "look", "makes suspect shorter than look");
    }
  }

  private void checkHealthChecks() {
    requireMinInterval("turn");
  }

  private void requireMinInterval(String name) {
    if (section.durationUs(name) < MIN_INTERVAL_US) {
      throw section.error(name, "is 20ms or more");
    }
  }

  private void checkVersionSkew() {
    long behindUs = section.durationUs("behind");
    if (behindUs < MIN_INTERVAL_US || section.durationUs("shut_out") <= behindUs) {
      throw section.error(
          section.has("shut_out") ? "shut_out" : "behind",
          "makes a straggler shut out before it is seen, or in under 20ms");
    }
  }
}
