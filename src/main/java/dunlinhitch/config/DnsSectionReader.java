package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import dunlinhitch.config.syntax.SectionValues;
import java.util.List;

/** Reads the sections {@code [dns_sd NAME]} and {@code [announce]}. */
final class DnsSectionReader {
  private static final int MAX_RANK = 1000;
  private static final int MAX_INSTANCES = 50_000;

  /** Shortest lease of the broker's own records, in microseconds. */
  private static final long MIN_LEASE_US = 30_000_000;

  /** A service type (RFC 6763 section 7) followed by a domain. */
  private static final String SERVICE_PATTERN = "(?i)_[a-z0-9-]{1,15}\\._(tcp|udp)\\..+";

  private DnsSectionReader() {}

  static Product.DnsService service(SectionValues section) {
    List<Address> servers = servers(section);
    requireRange(section, "rank", MAX_RANK);
    requireRange(section, "instances", MAX_INSTANCES);
    if (!section.text("service").matches(SERVICE_PATTERN)) {
      throw section.error(
          "service",
          "must be _NAME._tcp or _NAME._udp followed by a domain (RFC 6763 section 7), not "
              + section.text("service"));
    }
    return new Product.DnsService(
        section.label(),
        servers,
        section.text("service"),
        section.all("subtype"),
        (int) section.count("rank"),
        section.text("zone"),
        section.durationUs("soa_every"),
        ProductReader.address(section, "push"),
        section.path("push_trust"),
        section.text("push_name"),
        (int) section.count("instances"));
  }

  private static List<Address> servers(SectionValues section) {
    List<Address> servers = ProductReader.addresses(section, "server");
    if (servers.stream().distinct().count() < servers.size()) {
      throw section.error("server", "is specified twice with the same address");
    }
    for (Address server : servers) {
      if (!server.hasIpAddress()) {
        throw section.error(
            "server",
            "must be an IP address, because resolving a host name requires a DNS server; found "
                + server.host());
      }
    }
    return servers;
  }

  private static void requireRange(SectionValues section, String name, int max) {
    if (section.count(name) < 1 || section.count(name) > max) {
      throw section.error(name, "must be from 1 to " + max);
    }
  }

  static Product.Announcement announcement(SectionValues section) {
    Address address = ProductReader.address(section, "address");
    if (!address.hasIpAddress()) {
      throw section.error(
          "address", "must be an IP address and a port, not " + section.text("address"));
    }
    if (section.durationUs("lease") < MIN_LEASE_US) {
      throw section.error("lease", "must be 30s or more");
    }
    return new Product.Announcement(
        ProductReader.address(section, "server"),
        section.text("zone"),
        section.text("service"),
        section.text("instance"),
        target(section),
        address,
        section.all("txt"),
        section.durationUs("ttl"),
        section.durationUs("lease"),
        section.path("key"));
  }

  /**
   * Returns the host name. The default is the instance name, in which each sequence of characters
   * that are invalid in a host name is replaced with a hyphen.
   */
  private static String target(SectionValues section) {
    String target = section.text("target");
    return target == null ? section.text("instance").replaceAll("[^A-Za-z0-9-]+", "-") : target;
  }
}
