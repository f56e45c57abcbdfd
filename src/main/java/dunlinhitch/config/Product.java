package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What the product's own settings file switches on. Without the file nothing of it is on, and no
 * class that implements it is loaded. Immutable.
 *
 * @param flight address of the Arrow Flight frontend, or null
 * @param discovery whether the platform's endpoint list is used
 * @param dnsSd DNS-SD services whose records name endpoints
 * @param announcement the broker's own DNS-SD records, or null
 * @param stateDir folder of the last known state, or null
 * @param membership times of the endpoint registry, or null for the defaults
 * @param phases query classes that may run in two phases
 * @param cluster this broker's part in a cluster of brokers, or null
 */
public record Product(
    Address flight,
    boolean discovery,
    List<DnsService> dnsSd,
    Announcement announcement,
    Path stateDir,
    MembershipTimes membership,
    List<TwoPhaseClass> phases,
    Cluster cluster) {
  /** Nothing is switched on. */
  public static final Product NONE =
      new Product(null, true, List.of(), null, null, null, List.of(), null);

  /** Name of the file in an earlier form, which is no longer read. */
  private static final String LEGACY_FILE = "fronts.json";

  /** Copies the lists. */
  public Product {
    dnsSd = List.copyOf(dnsSd);
    phases = List.copyOf(phases);
  }

  /**
   * This broker's part in a cluster of brokers, from the section {@code [fleet]}.
   *
   * @param listen address for gossip to this broker; null: that of the platform
   * @param advertise address that other brokers reach it at
   * @param peers addresses of brokers to join the cluster by
   * @param minSubset smallest subset of a cell's endpoints that each broker uses
   * @param slack how far the number of brokers of an endpoint may exceed the mean, as a share of it
   * @param protocolPeriodUs protocol period of failure detection, in microseconds
   * @param suspicionUs how long a suspected broker counts as alive, in microseconds
   * @param healthCheckIntervalUs interval at which one of all brokers checks the health of an
   *     endpoint, in microseconds
   * @param stragglerAfterUs how long a broker may have older versions before it counts as a
   *     straggler, in microseconds
   * @param fenceAfterUs after how long with older versions than most it is fenced, in microseconds
   */
  public record Cluster(
      Address listen,
      Address advertise,
      List<Address> peers,
      int minSubset,
      double slack,
      long protocolPeriodUs,
      long suspicionUs,
      long healthCheckIntervalUs,
      long stragglerAfterUs,
      long fenceAfterUs) {
    /** Copies the peers. */
    public Cluster {
      peers = List.copyOf(peers);
    }

    /** Returns the same settings with other addresses. */
    Cluster withAddresses(Address newListen, Address newAdvertise, List<Address> newPeers) {
      return new Cluster(
          newListen,
          newAdvertise,
          newPeers,
          minSubset,
          slack,
          protocolPeriodUs,
          suspicionUs,
          healthCheckIntervalUs,
          stragglerAfterUs,
          fenceAfterUs);
    }
  }

  /** Returns the same settings with another part in the cluster, or none if it is null. */
  Product withCluster(Cluster cluster) {
    return new Product(
        flight, discovery, dnsSd, announcement, stateDir, membership, phases, cluster);
  }

  /**
   * A query class that may run in two phases. All shares are from 0 to 1.
   *
   * @param queryClass name of the class
   * @param share largest share of the time until the latency objective for the first pass
   * @param least a query over fewer blocks runs in a single phase
   * @param trial share of queries that run in two phases while these do not seem to pay
   * @param audit share of prunable blocks that are queried in full all the same
   * @param margin share of the work that must be saved for two phases to pay
   * @param closeUs how long pruning is closed after a failed audit, in microseconds
   */
  public record TwoPhaseClass(
      String queryClass,
      double share,
      int least,
      double trial,
      double audit,
      double margin,
      long closeUs) {}

  /**
   * A DNS-SD service and the servers that are asked for it, each a discovery source of its own.
   *
   * @param name label of the section
   * @param servers DNS servers, by IP address
   * @param service the service type with its domain
   * @param subtypes only instances of these subtypes are used, all if empty
   * @param rank precedence among sources that disagree; the lowest wins, the platform's list has 0
   * @param zone the zone whose serial is polled, or null for the service's domain
   * @param soaEveryUs interval of that poll in microseconds; 0: never
   * @param push server of DNS Push Notifications, or null
   * @param pushTrust PEM file of the authorities that may certify it, or null for the system's
   * @param pushName name that its certificate must have, or null for that of {@code push}
   * @param instances largest number of instances that are used
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
    /** Copies the lists. */
    public DnsService {
      servers = List.copyOf(servers);
      subtypes = List.copyOf(subtypes);
    }
  }

  /**
   * The broker's own DNS-SD records.
   *
   * @param server primary server of the zone
   * @param zone the zone that is updated
   * @param service the service type that brokers are found by
   * @param instance this broker's instance name
   * @param target host name within the zone
   * @param address address that clients reach the broker at
   * @param txt strings of the TXT record
   * @param ttlUs time to live of the records, in microseconds
   * @param leaseUs how long the server keeps them without a renewal, in microseconds
   * @param key file of the TSIG key, or null for unsigned updates
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
    /** Copies the TXT strings. */
    public Announcement {
      txt = List.copyOf(txt);
    }
  }

  /**
   * Times of the endpoint registry, in microseconds.
   *
   * @param lingerUs how long a withdrawn endpoint may return as the same
   * @param staleForUs how long records are used past their expiry
   * @param returnDelayUs delay of the second return within the calm time; each further one doubles
   *     it
   * @param maxReturnDelayUs longest delay of a return
   * @param calmUs time without a withdrawal after which returns are not delayed any more
   */
  public record MembershipTimes(
      long lingerUs, long staleForUs, long returnDelayUs, long maxReturnDelayUs, long calmUs) {}

  /**
   * Reads the product's settings file.
   *
   * @return its content, {@link #NONE} if there is no file
   * @throws Config.ConfigException if the file can not be used, or only one of the earlier form
   *     exists
   */
  public static Product read(Path file) {
    if (Files.exists(file)) {
      return ProductReader.read(file);
    }
    Path legacyFile = file.resolveSibling(LEGACY_FILE);
    if (Files.exists(legacyFile)) {
      throw new Config.ConfigException(
          legacyFile
              + " is no longer read; write into "
              + file
              + ": "
              + LegacyProductFile.asDirectives(legacyFile));
    }
    return NONE;
  }

  /** Returns a summary for operators, one line for each setting; empty if nothing is on. */
  public String description() {
    return equals(NONE) ? "" : ProductDescription.of(this);
  }
}
