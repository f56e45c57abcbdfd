package dunlinhitch.config;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import dunlinhitch.config.Config.Address;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What the product's own settings file switches on; without the file nothing of it is, and no class
 * of it is loaded.
 *
 * @param flight where the Arrow Flight front listens, or null
 * @param discovery whether the platform's list is followed
 * @param dnsSd services whose records name stores
 * @param announcement where the broker announces itself, or null
 * @param stateDir where the last known state is kept, or null
 * @param membership its times, or null for the standard
 * @param phases classes whose queries may go in two phases
 * @param fleet how this broker knows the others, or null
 */
public record Product(
    Address flight,
    boolean discovery,
    List<DnsService> dnsSd,
    Announcement announcement,
    Path stateDir,
    MembershipTimes membership,
    List<Phase> phases,
    Fleet fleet) {
  public static final Product NONE =
      new Product(null, true, List.of(), null, null, null, List.of(), null);

  /** The form of this file that came before. */
  private static final String OLD = "fronts.json";

  public Product {
    dnsSd = List.copyOf(dnsSd);
    phases = List.copyOf(phases);
  }

  /**
   * The brokers among themselves: where this one hears the others (null: where the platform says),
   * where they reach it, where it begins to look for them, how many stores of a cell it keeps to at
   * least, how uneven that may be (a share over the mean), how often one of all probes a store,
   * when one on older versions is a straggler and when it is shut out.
   */
  public record Fleet(
      Address listen,
      Address advertise,
      List<Address> peers,
      int least,
      double slack,
      long lookUs,
      long suspectUs,
      long turnUs,
      long behindUs,
      long shutOutUs) {
    public Fleet {
      peers = List.copyOf(peers);
    }

    Fleet at(Address hears, Address reached, List<Address> others) {
      return new Fleet(
          hears, reached, others, least, slack, lookUs, suspectUs, turnUs, behindUs, shutOutUs);
    }
  }

  /** The same with another standing among the brokers. */
  Product with(Fleet other) {
    return new Product(flight, discovery, dnsSd, announcement, stateDir, membership, phases, other);
  }

  /** A class whose queries may go in two phases; shares are from 0 to 1. */
  public record Phase(
      String queryClass,
      double share,
      int least,
      double trial,
      double audit,
      double margin,
      long closeUs) {}

  /**
   * A service and the servers that are asked for it, each a source of its own. {@code push}, {@code
   * pushTrust} and {@code pushName} may be null; times are microseconds, {@code soaEveryUs} 0:
   * never.
   */
  public record DnsService(
      String name,
      List<Address> servers,
      String service,
      List<String> subtypes,
      int rank,
      String zone,
      long soaEveryUs,
      Address push,
      Path pushTrust,
      String pushName,
      int instances) {
    public DnsService {
      servers = List.copyOf(servers);
      subtypes = List.copyOf(subtypes);
    }
  }

  /**
   * The broker's own records; {@code address} is where clients reach it, {@code key} a TSIG key
   * file or null.
   */
  public record Announcement(
      Address server,
      String zone,
      String service,
      String instance,
      String target,
      Address address,
      List<String> txt,
      long ttlUs,
      long leaseUs,
      Path key) {
    public Announcement {
      txt = List.copyOf(txt);
    }
  }

  /** In microseconds. */
  public record MembershipTimes(
      long lingerUs, long staleForUs, long holdUs, long holdMostUs, long calmUs) {}

  /**
   * What the file says; where there is none, {@link #NONE}. Throws a {@link
   * Config.ConfigException}.
   */
  public static Product read(Path file) {
    if (Files.exists(file)) {
      return ProductReader.read(file);
    }
    Path old = file.resolveSibling(OLD);
    if (Files.exists(old)) {
      throw new Config.ConfigException(
          old + " is no longer read; write into " + file + ": " + translated(old));
    }
    return NONE;
  }

  /** What holds, a line each, for {@code check}; empty where nothing is switched on. */
  public String described() {
    if (this.equals(NONE)) {
      return "";
    }
    StringBuilder out = new StringBuilder();
    out.append("discovery: ").append(discovery ? "followed" : "not followed").append('\n');
    if (flight != null) {
      out.append("flight: listens on ")
          .append(flight.host())
          .append(':')
          .append(flight.port())
          .append('\n');
    }
    for (DnsService s : dnsSd) {
      out.append("dns_sd ").append(s.name()).append(": ").append(s.service());
      s.subtypes().forEach(subtype -> out.append(", subtype ").append(subtype));
      s.servers()
          .forEach(
              server ->
                  out.append(", at ").append(server.host()).append(':').append(server.port()));
      out.append(", rank ")
          .append(s.rank())
          .append(s.push() == null ? "" : ", push from " + s.push().host() + ":" + s.push().port())
          .append(s.soaEveryUs() > 0 ? ", serial every " + s.soaEveryUs() / 1000 + " ms" : "")
          .append('\n');
    }
    for (Phase p : phases) {
      out.append("phases ")
          .append(p.queryClass())
          .append(": first pass within ")
          .append(Math.round(100 * p.share()))
          .append(" % of the time, from ")
          .append(p.least())
          .append(" blocks on, audit ")
          .append(100 * p.audit())
          .append(" %, trial ")
          .append(100 * p.trial())
          .append(" %\n");
    }
    if (fleet != null) {
      out.append("fleet: hears other brokers on ")
          .append(fleet.listen().host())
          .append(':')
          .append(fleet.listen().port())
          .append(", begins with ")
          .append(fleet.peers().size())
          .append(" of them, keeps to ")
          .append(fleet.least())
          .append(" stores of a cell at least, probes in turns of ")
          .append(fleet.turnUs() / 1000)
          .append(" ms\n");
    }
    if (announcement != null) {
      out.append("announce: ")
          .append(announcement.instance())
          .append(" as ")
          .append(announcement.service())
          .append(" at ")
          .append(announcement.server().host())
          .append(':')
          .append(announcement.server().port())
          .append(announcement.key() == null ? ", not signed" : ", signed")
          .append('\n');
    }
    if (stateDir != null) {
      out.append("state: kept in ").append(stateDir).append('\n');
    }
    if (membership != null) {
      out.append("membership: linger ")
          .append(membership.lingerUs() / 1000)
          .append(" ms, stale for ")
          .append(membership.staleForUs() / 1_000_000)
          .append(" s, hold ")
          .append(membership.holdUs() / 1000)
          .append(" to ")
          .append(membership.holdMostUs() / 1000)
          .append(" ms, calm ")
          .append(membership.calmUs() / 1000)
          .append(" ms\n");
    }
    return out.toString();
  }

  /** The old file's content as directives, on one line. */
  private static String translated(Path old) {
    JsonObject root = Config.json(old);
    StringBuilder out = new StringBuilder();
    JsonValue flight = root.get("flight");
    if (flight != null && flight.isObject()) {
      out.append("'[flight]', 'listen ")
          .append(flight.asObject().getString("listen", "HOST:PORT"))
          .append("'");
    }
    JsonValue dns = root.get("dns_sd");
    if (dns != null && dns.isObject()) {
      out.append(out.isEmpty() ? "" : ", ")
          .append("'discovery off', '[dns_sd main]', 'server ")
          .append(dns.asObject().getString("server", "HOST:PORT"))
          .append("', 'service ")
          .append(dns.asObject().getString("service", "NAME"))
          .append("'");
    }
    return out.isEmpty()
        ? "nothing, for it switches nothing on"
        : out + " (each a line; 'discovery' before any section)";
  }
}
