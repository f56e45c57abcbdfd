package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import dunlinhitch.config.syntax.SectionValues;
import java.util.List;

/** Reads the section {@code [fleet]}, which contains the settings of the broker cluster. */
final class ClusterSectionReader {
  /** Shortest interval of any periodic work of the cluster, in microseconds. */
  private static final long MIN_INTERVAL_US = 20_000;

  private final SectionValues section;

  ClusterSectionReader(SectionValues section) {
    this.section = section;
  }

  /** Reads and validates the section; errors are reported in the order of its directives. */
  Product.Cluster read() {
    Address listen = ProductReader.address(section, "listen");
    List<Address> peers = ProductReader.addresses(section, "peer");
    checkPeers(listen, peers);
    Address advertise = advertisedAddress(listen);
    if (section.count("least") < 1) {
      throw section.error("least", "must be 1 or more");
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
        throw section.error("peer", "must be an IP address and a port, not " + peer.hostAndPort());
      }
    }
    if (listen == null) {
      requireAbsentWithoutListen("advertise");
      requireAbsentWithoutListen("peer");
    } else if (peers.isEmpty()) {
      throw section.error(
          "listen",
          "requires at least one 'peer' directive, through which this broker joins the cluster");
    }
  }

  private void requireAbsentWithoutListen(String name) {
    if (section.has(name)) {
      throw section.error(
          name, "requires a 'listen' directive; without one all addresses come from the platform");
    }
  }

  private Address advertisedAddress(Address listen) {
    Address advertise =
        section.has("advertise") ? ProductReader.address(section, "advertise") : listen;
    if (advertise != null && !advertise.isReachable()) {
      throw section.error(
          section.has("advertise") ? "advertise" : "listen",
          "must be an IP address and a port that other brokers can reach, not "
              + advertise.hostAndPort());
    }
    return advertise;
  }

  private void checkFailureDetection() {
    requireMinInterval("look");
    if (section.durationUs("suspect") < section.durationUs("look")) {
      throw section.error(
          section.has("suspect") ? "suspect" : "look",
          "is invalid: 'suspect' must not be shorter than 'look'");
    }
  }

  private void checkHealthChecks() {
    requireMinInterval("turn");
  }

  private void requireMinInterval(String name) {
    if (section.durationUs(name) < MIN_INTERVAL_US) {
      throw section.error(name, "must be 20ms or more");
    }
  }

  private void checkVersionSkew() {
    long behindUs = section.durationUs("behind");
    if (behindUs < MIN_INTERVAL_US || section.durationUs("shut_out") <= behindUs) {
      throw section.error(
          section.has("shut_out") ? "shut_out" : "behind",
          "is invalid: 'behind' must be 20ms or more, and 'shut_out' must be longer than 'behind'");
    }
  }
}
