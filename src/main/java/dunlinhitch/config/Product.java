package dunlinhitch.config;

import dunlinhitch.config.Config.Address;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * Features enabled by the product's own settings file. Without the file none of them is enabled,
 * and none of their classes is loaded. Immutable.
 *
 * @param flight address of the Arrow Flight frontend, or null
 * @param discovery whether the platform's discovery service is used
 * @param dnsSd DNS-SD services that are used as endpoint sources
 * @param announcement the broker's own DNS-SD records, or null
 * @param stateDir directory of the stored endpoint list, or null
 * @param membership times of the endpoint registry, or null for the defaults
 * @param phases query classes that may run in two phases
 * @param cluster settings of the broker cluster, or null
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
  /** No feature is enabled. */
  public static final Product NONE =
      new Product(null, true, List.of(), null, null, null, List.of(), null);

  /** Name of the settings file in the former JSON format, which is no longer supported. */
  private static final String LEGACY_FILE = "fronts.json";

  /** Copies the lists. */
  public Product {
    dnsSd = List.copyOf(dnsSd);
    phases = List.copyOf(phases);
  }

  /**
   * Settings of the broker cluster, from the section {@code [fleet]}.
   *
   * @param listen address at which this broker receives gossip; null for the platform's address
   * @param advertise address at which other brokers reach this broker
   * @param peers addresses of brokers through which this broker joins the cluster
   * @param minSubset smallest subset of a cell's endpoints that each broker uses
   * @param slack fraction by which the number of brokers per endpoint may exceed its mean
   * @param protocolPeriodUs protocol period of failure detection, in microseconds
   * @param suspicionUs how long a suspected broker is treated as alive, in microseconds
   * @param healthCheckIntervalUs interval at which one broker of the cluster checks the health of
   *     an endpoint, in microseconds
   * @param stragglerAfterUs how long a broker may use older settings or an older endpoint list than
   *     other brokers before it is treated as a straggler, in microseconds
   * @param fenceAfterUs how long most brokers must have used the newer versions before a straggler
   *     is fenced, in microseconds
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

  /** Returns the same settings with other cluster settings, or none if {@code cluster} is null. */
  Product withCluster(Cluster cluster) {
    return new Product(
        flight, discovery, dnsSd, announcement, stateDir, membership, phases, cluster);
  }

  /**
   * A query class that may run in two phases. All shares are from 0 to 1.
   *
   * @param queryClass name of the class
   * @param firstPassShare maximum duration of the first pass, as a share of the time that remains
   *     until the latency objective
   * @param minBlocks minimum number of blocks; a query over fewer blocks runs in a single phase
   * @param trialShare share of queries that run in two phases although no saving of work is
   *     expected
   * @param auditShare share of prunable blocks that are still queried in full, to verify the
   *     pruning
   * @param minSavings minimum share of the work that two phases must be expected to save; otherwise
   *     a query runs in a single phase
   * @param closeDurationUs how long pruning is disabled after a failed audit, in microseconds
   */
  public record TwoPhaseClass(
      String queryClass,
      double firstPassShare,
      int minBlocks,
      double trialShare,
      double auditShare,
      double minSavings,
      long closeDurationUs) {}

  /**
   * A DNS-SD service and the DNS servers that are queried for it. Each server is a separate
   * discovery source.
   *
   * @param name label of the section
   * @param servers DNS servers, by IP address
   * @param service the service type with its domain
   * @param subtypes subtypes whose instances are used; all instances if empty
   * @param rank precedence among sources that disagree: the lowest rank wins, and the platform's
   *     discovery service has rank 0
   * @param zone the zone whose SOA serial is polled, or null for the service's domain
   * @param soaEveryUs interval of the SOA serial polls in microseconds; 0 disables them
   * @param push server of DNS Push Notifications, or null
   * @param pushTrust PEM file of the CAs trusted for the push server, or null for the system's
   *     trust store
   * @param pushName name expected in the push server's certificate, or null for the host of {@code
   *     push}
   * @param maxInstances maximum number of instances that are used
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
      int maxInstances) {
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
   * @param service the service type under which clients discover brokers
   * @param instance this broker's instance name
   * @param target host name within the zone
   * @param address address at which clients reach the broker
   * @param txt strings of the TXT record
   * @param ttlUs time to live of the records, in microseconds
   * @param leaseUs how long the server keeps the records without a refresh, in microseconds
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
   * @param lingerUs time after a withdrawal within which a returning endpoint keeps its state
   * @param staleForUs how long records are used after their expiry
   * @param returnDelayUs delay before an endpoint that returns for the second time within {@code
   *     calmUs} is used again; each further return doubles the delay
   * @param maxReturnDelayUs maximum delay before a returning endpoint is used
   * @param calmUs time without a withdrawal after which a return is no longer delayed
   */
  public record MembershipTimes(
      long lingerUs, long staleForUs, long returnDelayUs, long maxReturnDelayUs, long calmUs) {}

  /**
   * Reads the product's settings file.
   *
   * @return its content, or {@link #NONE} if there is no file
   * @throws Config.ConfigException if the file is invalid, or if only a file in the former format
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
              + " is no longer supported; add to "
              + file
              + ": "
              + LegacyProductFile.asDirectives(legacyFile));
    }
    return NONE;
  }

  /** Returns a summary for operators with one line per setting; empty if nothing is enabled. */
  public String description() {
    return equals(NONE) ? "" : ProductDescription.of(this);
  }
}
