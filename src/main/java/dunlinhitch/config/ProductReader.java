package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import dunlinhitch.config.syntax.Block;
import dunlinhitch.config.syntax.Schema;
import dunlinhitch.config.syntax.Schema.Kind;
import dunlinhitch.config.syntax.SyntaxException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The directives of {@code dunlinhitch.conf} and what they come to. */
public final class ProductReader {
  private static final int MOST_RANK = 1000;
  private static final int MOST_INSTANCES = 50_000;
  private static final long LEAST_LOOK_US = 20_000;

  private ProductReader() {}

  /** What the file may hold. */
  public static Schema schema() {
    Schema schema = new Schema();
    schema
        .part("", false)
        .may("discovery", Kind.SWITCH, "on", "whether the platform's list of stores is followed")
        .may("state_dir", Kind.PATH, null, "where the last known state is kept over restarts");
    schema
        .part("flight", false)
        .required("listen", Kind.ADDRESS, "where the Arrow Flight front listens");
    schema
        .part("dns_sd", true)
        .many(
            "server",
            Kind.ADDRESS,
            true,
            "a DNS server, by its IP address; each is a source of its own")
        .required("service", Kind.TEXT, "the service, such as _calendar._tcp.rooms.example.org")
        .many("subtype", Kind.TEXT, false, "only instances of this subtype")
        .may(
            "rank",
            Kind.COUNT,
            "1",
            "standing among sources that disagree; lower goes first, discovery has 0")
        .may("zone", Kind.TEXT, null, "the zone whose serial is asked for (the service's domain)")
        .may(
            "soa_every", Kind.DURATION, "0s", "how often the zone's serial is asked for; 0s: never")
        .may("push", Kind.ADDRESS, null, "a server of DNS Push Notifications over TLS")
        .may(
            "push_trust",
            Kind.PATH,
            null,
            "PEM file of the authorities that may vouch for it (the system's)")
        .may("push_name", Kind.TEXT, null, "the name that its certificate must have (that of push)")
        .may("instances", Kind.COUNT, "4096", "instances that are taken at the most");
    schema
        .part("membership", false)
        .may("linger", Kind.DURATION, "10s", "how long a withdrawn store may come back as the same")
        .may("stale_for", Kind.DURATION, "1h", "how long records are kept past their time")
        .may(
            "hold",
            Kind.DURATION,
            "500ms",
            "what the second return within calm waits; each further one twice")
        .may("hold_most", Kind.DURATION, "30s", "the longest that a return waits")
        .may(
            "calm",
            Kind.DURATION,
            "1m",
            "after so long without a withdrawal returns are free again");
    schema
        .part("phases", true)
        .may(
            "share",
            Kind.PERCENT,
            "30%",
            "of the time to the aim, the most that the first pass may take")
        .may("least", Kind.COUNT, "3", "with fewer blocks a query goes in one phase")
        .may(
            "trial",
            Kind.PERCENT,
            "2%",
            "of queries that try two phases while it does not seem to pay")
        .may("audit", Kind.PERCENT, "2%", "of spared blocks that are asked in full all the same")
        .may("margin", Kind.PERCENT, "5%", "of the work that must be saved for it to pay")
        .may(
            "close_for",
            Kind.DURATION,
            "1m",
            "how long it is closed after a block was spared that had something");
    schema
        .part("fleet", false)
        .may(
            "listen",
            Kind.ADDRESS,
            null,
            "where this broker hears the others, UDP (the platform's peer_listen)")
        .may("advertise", Kind.ADDRESS, null, "where the others reach it (that of listen)")
        .many(
            "peer",
            Kind.ADDRESS,
            false,
            "where another broker may be heard; its own may stand among them (the platform's)")
        .may("least", Kind.COUNT, "2", "stores of a cell that each broker keeps to at the least")
        .may("slack", Kind.PERCENT, "20%", "how far the brokers at one store may be over the mean")
        .may("look", Kind.DURATION, "200ms", "how often one other broker is asked whether it lives")
        .may("suspect", Kind.DURATION, "1s", "how long one that does not answer still counts")
        .may("turn", Kind.DURATION, "2s", "one of all brokers probes a store so often")
        .may(
            "behind",
            Kind.DURATION,
            "1500ms",
            "on older settings or an older list for so long a broker is a straggler")
        .may(
            "shut_out",
            Kind.DURATION,
            "10s",
            "when most have held the newer for so long it is shut out");
    schema
        .part("announce", false)
        .required("server", Kind.ADDRESS, "the zone's primary server")
        .required("zone", Kind.TEXT, "the zone that is updated")
        .required("service", Kind.TEXT, "the service that brokers are found under")
        .required("instance", Kind.TEXT, "this broker's name among them")
        .required("address", Kind.ADDRESS, "where clients reach it; an IP address")
        .may("target", Kind.TEXT, null, "the host's name within the zone (that of instance)")
        .many("txt", Kind.TEXT, false, "a word of its TXT record")
        .may("ttl", Kind.DURATION, "120s", "of its records")
        .may("lease", Kind.DURATION, "1h", "how long the server keeps them without a word")
        .may("key", Kind.PATH, null, "file with NAME ALGORITHM SECRET of the TSIG key");
    return schema;
  }

  static Product read(Path file) {
    try {
      Address flight = null;
      boolean discovery = true;
      Path state = null;
      Product.MembershipTimes times = null;
      Product.Announcement announcement = null;
      List<Product.DnsService> services = new ArrayList<>();
      List<Product.Phase> phases = new ArrayList<>();
      Product.Fleet fleet = null;
      for (Block block : schema().read(file)) {
        switch (block.kind()) {
          case "flight" -> flight = address(block, "listen");
          case "dns_sd" -> services.add(service(block));
          case "phases" -> phases.add(phase(block));
          case "membership" -> times = times(block);
          case "fleet" -> fleet = fleet(block);
          case "announce" -> announcement = announcement(block);
          default -> {
            discovery = block.on("discovery");
            state = block.path("state_dir");
          }
        }
      }
      if (!discovery && services.isEmpty()) {
        throw new SyntaxException(
            file, "discovery is off and there is no [dns_sd NAME]: no store would ever be known");
      }
      return new Product(flight, discovery, services, announcement, state, times, phases, fleet);
    } catch (SyntaxException e) {
      throw new Config.ConfigException(e.getMessage());
    }
  }

  private static Address address(Block block, String name) {
    return block.has(name) ? Address.parse(name, block.text(name)) : null;
  }

  private static Product.DnsService service(Block block) {
    List<Address> servers =
        block.all("server").stream().map(text -> Address.parse("server", text)).toList();
    if (servers.stream().distinct().count() < servers.size()) {
      throw block.wrong("server", "stands twice with the same address");
    }
    for (Address server : servers) {
      if (!isIp(server.host())) {
        throw block.wrong(
            "server",
            "is an IP address, for it is what names are looked up with: " + server.host());
      }
    }
    if (block.count("rank") < 1 || block.count("rank") > MOST_RANK) {
      throw block.wrong("rank", "is from 1 to " + MOST_RANK);
    }
    if (block.count("instances") < 1 || block.count("instances") > MOST_INSTANCES) {
      throw block.wrong("instances", "is from 1 to " + MOST_INSTANCES);
    }
    if (!block.text("service").matches("(?i)_[a-z0-9-]{1,15}\\._(tcp|udp)\\..+")) {
      throw block.wrong(
          "service",
          "begins with _NAME._tcp (RFC 6763 section 7) and has a domain behind it: "
              + block.text("service"));
    }
    return new Product.DnsService(
        block.label(),
        servers,
        block.text("service"),
        block.all("subtype"),
        (int) block.count("rank"),
        block.text("zone"),
        block.durationUs("soa_every"),
        address(block, "push"),
        block.path("push_trust"),
        block.text("push_name"),
        (int) block.count("instances"));
  }

  static boolean isIp(String host) {
    return host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}")
        || host.matches("\\[?[0-9a-fA-F:.]*:[0-9a-fA-F:.]*\\]?");
  }

  private static Product.MembershipTimes times(Block block) {
    if (block.durationUs("hold_most") < block.durationUs("hold")) {
      throw block.wrong(
          block.has("hold_most") ? "hold_most" : "hold", "makes hold_most shorter than hold");
    }
    return new Product.MembershipTimes(
        block.durationUs("linger"),
        block.durationUs("stale_for"),
        block.durationUs("hold"),
        block.durationUs("hold_most"),
        block.durationUs("calm"));
  }

  private static Product.Phase phase(Block block) {
    if (block.share("share") <= 0 || block.share("share") >= 1) {
      throw block.wrong("share", "is above 0% and below 100%");
    }
    if (block.count("least") < 2) {
      throw block.wrong("least", "is 2 or more: one block has no first pass");
    }
    return new Product.Phase(
        block.label(),
        block.share("share"),
        (int) block.count("least"),
        block.share("trial"),
        block.share("audit"),
        block.share("margin"),
        block.durationUs("close_for"));
  }

  private static Product.Fleet fleet(Block block) {
    Address listen = address(block, "listen");
    List<Address> peers =
        block.all("peer").stream().map(text -> Address.parse("peer", text)).toList();
    for (Address peer : peers) {
      if (!isIp(peer.host()) || peer.port() == 0) {
        throw block.wrong(
            "peer", "is an IP address and a port: " + peer.host() + ":" + peer.port());
      }
    }
    for (String name : listen == null ? List.of("advertise", "peer") : List.<String>of()) {
      if (block.has(name)) {
        throw block.wrong(
            name, "is told without listen: the platform says either all of these or none");
      }
    }
    if (listen != null && peers.isEmpty()) {
      throw block.wrong(
          "listen",
          "is told without a peer: there must be one where the search for the others begins");
    }
    Address advertise = block.has("advertise") ? address(block, "advertise") : listen;
    if (advertise != null && (!isIp(advertise.host()) || advertise.port() == 0)) {
      throw block.wrong(
          block.has("advertise") ? "advertise" : "listen",
          "is an IP address and a port, for the others are told it: "
              + advertise.host()
              + ":"
              + advertise.port());
    }
    if (block.count("least") < 1) {
      throw block.wrong("least", "is 1 or more");
    }
    if (block.durationUs("look") < LEAST_LOOK_US) {
      throw block.wrong("look", "is 20ms or more");
    }
    if (block.durationUs("suspect") < block.durationUs("look")) {
      throw block.wrong(
          block.has("suspect") ? "suspect" : "look", "makes suspect shorter than look");
    }
    if (block.durationUs("turn") < LEAST_LOOK_US) {
      throw block.wrong("turn", "is 20ms or more");
    }
    if (block.durationUs("behind") < LEAST_LOOK_US
        || block.durationUs("shut_out") <= block.durationUs("behind")) {
      throw block.wrong(
          block.has("shut_out") ? "shut_out" : "behind",
          "makes a straggler shut out before it is seen, or in under 20ms");
    }
    return new Product.Fleet(
        listen,
        advertise,
        peers,
        (int) Math.min(block.count("least"), Integer.MAX_VALUE),
        block.share("slack"),
        block.durationUs("look"),
        block.durationUs("suspect"),
        block.durationUs("turn"),
        block.durationUs("behind"),
        block.durationUs("shut_out"));
  }

  private static Product.Announcement announcement(Block block) {
    Address address = address(block, "address");
    if (!isIp(address.host())) {
      throw block.wrong("address", "is an IP address and a port: " + block.text("address"));
    }
    if (block.durationUs("lease") < 30_000_000) {
      throw block.wrong("lease", "is 30s or more");
    }
    return new Product.Announcement(
        address(block, "server"),
        block.text("zone"),
        block.text("service"),
        block.text("instance"),
        block.text("target") == null
            ? block.text("instance").replaceAll("[^A-Za-z0-9-]+", "-")
            : block.text("target"),
        address,
        block.all("txt"),
        block.durationUs("ttl"),
        block.durationUs("lease"),
        block.path("key"));
  }
}
