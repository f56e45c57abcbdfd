package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import dunlinhitch.config.syntax.SectionValues;
import dunlinhitch.config.syntax.SyntaxException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads the product's settings file {@code dunlinhitch.conf}. */
final class ProductReader {
  private Address flight;
  private boolean discovery = true;
  private Path stateDir;
  private Product.MembershipTimes membership;
  private Product.Announcement announcement;
  private final List<Product.DnsService> dnsServices = new ArrayList<>();
  private final List<Product.TwoPhaseClass> phases = new ArrayList<>();
  private Product.Cluster cluster;

  private ProductReader() {}

  /**
   * Reads an existing file.
   *
   * @throws Config.ConfigException if it is invalid
   */
  static Product read(Path file) {
    try {
      ProductReader reader = new ProductReader();
      ProductSchema.create().read(file).forEach(reader::readSection);
      return reader.finish(file);
    } catch (SyntaxException e) {
      throw new Config.ConfigException(e.getMessage());
    }
  }

  private void readSection(SectionValues section) {
    switch (section.kind()) {
      case "flight" -> flight = address(section, "listen");
      case "dns_sd" -> dnsServices.add(DnsSectionReader.service(section));
      case "phases" -> phases.add(phase(section));
      case "membership" -> membership = membershipTimes(section);
      case "fleet" -> cluster = new ClusterSectionReader(section).read();
      case "announce" -> announcement = DnsSectionReader.announcement(section);
      default -> {
        discovery = section.isOn("discovery");
        stateDir = section.path("state_dir");
      }
    }
  }

  private Product finish(Path file) {
    if (!discovery && dnsServices.isEmpty()) {
      throw new SyntaxException(
          file,
          "discovery is off and there is no [dns_sd NAME] section: "
              + "the broker has no source of endpoints");
    }
    return new Product(
        flight, discovery, dnsServices, announcement, stateDir, membership, phases, cluster);
  }

  /** Reads an address, or returns null if the directive is absent. */
  static Address address(SectionValues section, String name) {
    return section.has(name) ? Address.parse(name, section.text(name)) : null;
  }

  /** Reads all addresses of a repeatable directive. */
  static List<Address> addresses(SectionValues section, String name) {
    return section.all(name).stream().map(text -> Address.parse(name, text)).toList();
  }

  private static Product.MembershipTimes membershipTimes(SectionValues section) {
    if (section.durationUs("hold_most") < section.durationUs("hold")) {
      throw section.error(
          section.has("hold_most") ? "hold_most" : "hold",
          "is invalid: 'hold_most' must not be shorter than 'hold'");
    }
    return new Product.MembershipTimes(
        section.durationUs("linger"),
        section.durationUs("stale_for"),
        section.durationUs("hold"),
        section.durationUs("hold_most"),
        section.durationUs("calm"));
  }

  private static Product.TwoPhaseClass phase(SectionValues section) {
    if (section.share("share") <= 0 || section.share("share") >= 1) {
      throw section.error("share", "must be above 0% and below 100%");
    }
    if (section.count("least") < 2) {
      throw section.error(
          "least", "must be 2 or more, because a query over one block has no first pass");
    }
    return new Product.TwoPhaseClass(
        section.label(),
        section.share("share"),
        (int) section.count("least"),
        section.share("trial"),
        section.share("audit"),
        section.share("margin"),
        section.durationUs("close_for"));
  }
}
