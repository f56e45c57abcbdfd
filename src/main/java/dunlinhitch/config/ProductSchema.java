package dunlinhitch.config;

import dunlinhitch.config.syntax.Schema;
import dunlinhitch.config.syntax.SectionSchema;
import dunlinhitch.config.syntax.ValueKind;

/** Declares the sections and directives of the product's settings file. */
final class ProductSchema {
  private ProductSchema() {}

  static Schema create() {
    Schema schema = new Schema();
    declareGeneral(schema);
    declareFlight(schema);
    declareDnsService(schema);
    declareMembership(schema);
    declarePhases(schema);
    declareCluster(schema);
    declareAnnouncement(schema);
    return schema;
  }

  /** Directives before any section. */
  private static void declareGeneral(Schema schema) {
    schema
        .section("", false)
        .optional(
            "discovery", ValueKind.SWITCH, "on", "whether the platform's discovery service is used")
        .optional(
            "state_dir",
            ValueKind.PATH,
            null,
            "directory that stores the last known endpoint list");
  }

  /** The Arrow Flight frontend. */
  private static void declareFlight(Schema schema) {
    schema
        .section("flight", false)
        .required("listen", ValueKind.ADDRESS, "listen address of the Arrow Flight frontend");
  }

  /** A DNS-SD service as a discovery source. */
  private static void declareDnsService(Schema schema) {
    schema
        .section("dns_sd", true)
        .repeatable(
            "server",
            ValueKind.ADDRESS,
            true,
            "IP address of a DNS server; each server is a separate source")
        .required(
            "service", ValueKind.TEXT, "service name, such as _calendar._tcp.rooms.example.org")
        .repeatable("subtype", ValueKind.TEXT, false, "uses only instances of this subtype")
        .optional(
            "rank",
            ValueKind.COUNT,
            "1",
            "precedence among sources that disagree: the lowest rank wins; "
                + "the discovery service has rank 0")
        .optional(
            "zone",
            ValueKind.TEXT,
            null,
            "zone whose SOA serial is polled (default: the domain of the service)")
        .optional(
            "soa_every",
            ValueKind.DURATION,
            "0s",
            "interval of the SOA serial polls; 0s disables them")
        .optional("push", ValueKind.ADDRESS, null, "server for DNS Push Notifications over TLS")
        .optional(
            "push_trust",
            ValueKind.PATH,
            null,
            "PEM file with the CAs trusted for the push server (default: the system's)")
        .optional(
            "push_name",
            ValueKind.TEXT,
            null,
            "name expected in the push server's certificate (default: the host in 'push')")
        .optional("instances", ValueKind.COUNT, "4096", "maximum number of instances");
  }

  /** Times of the endpoint registry. */
  private static void declareMembership(Schema schema) {
    schema
        .section("membership", false)
        .optional(
            "linger",
            ValueKind.DURATION,
            "10s",
            "time after a withdrawal within which a returning store keeps its state")
        .optional(
            "stale_for", ValueKind.DURATION, "1h", "how long records are used after their expiry")
        .optional(
            "hold",
            ValueKind.DURATION,
            "500ms",
            "delay before a store is used again when it returns for the second time within "
                + "the period 'calm'; doubled by each further return")
        .optional(
            "hold_most",
            ValueKind.DURATION,
            "30s",
            "maximum delay before a returning store is used")
        .optional(
            "calm",
            ValueKind.DURATION,
            "1m",
            "time without a withdrawal after which a returning store is used without delay");
  }

  /** A query class that may run in two phases. */
  private static void declarePhases(Schema schema) {
    schema
        .section("phases", true)
        .optional(
            "share",
            ValueKind.PERCENT,
            "30%",
            "maximum duration of the first pass, as a share of the time to the latency objective")
        .optional(
            "least",
            ValueKind.COUNT,
            "3",
            "minimum number of blocks of a query that runs in two phases")
        .optional(
            "trial",
            ValueKind.PERCENT,
            "2%",
            "share of queries that run in two phases although no saving of work is expected")
        .optional(
            "audit",
            ValueKind.PERCENT,
            "2%",
            "share of pruned blocks that are queried in full to verify the pruning")
        .optional(
            "margin",
            ValueKind.PERCENT,
            "5%",
            "minimum share of the work that two phases must save")
        .optional(
            "close_for",
            ValueKind.DURATION,
            "1m",
            "how long pruning is disabled after a block with results was pruned");
  }

  /** The cluster of brokers: its addresses and subsets. */
  private static void declareCluster(Schema schema) {
    SectionSchema cluster = schema.section("fleet", false);
    cluster
        .optional(
            "listen",
            ValueKind.ADDRESS,
            null,
            "UDP listen address for gossip (default: 'peer_listen' in the platform's file)")
        .optional(
            "advertise",
            ValueKind.ADDRESS,
            null,
            "gossip address at which other brokers reach this broker "
                + "(default: the address in 'listen')")
        .repeatable(
            "peer",
            ValueKind.ADDRESS,
            false,
            "gossip address of a broker, possibly of this one "
                + "(default: 'peers' in the platform's file)")
        .optional(
            "least",
            ValueKind.COUNT,
            "2",
            "minimum number of stores per cell that each broker uses")
        .optional(
            "slack",
            ValueKind.PERCENT,
            "20%",
            "share by which the number of brokers per store may exceed its mean");
    declareClusterTimes(cluster);
  }

  /** The cluster of brokers: failure detection, health checks and version skew. */
  private static void declareClusterTimes(SectionSchema cluster) {
    cluster
        .optional("look", ValueKind.DURATION, "200ms", "protocol period of failure detection")
        .optional(
            "suspect", ValueKind.DURATION, "1s", "how long a suspected broker is treated as alive")
        .optional(
            "turn",
            ValueKind.DURATION,
            "2s",
            "interval at which one broker of the cluster checks a store's health")
        .optional(
            "behind",
            ValueKind.DURATION,
            "1500ms",
            "how long a broker may use older settings or an older endpoint list "
                + "before it is treated as a straggler")
        .optional(
            "shut_out",
            ValueKind.DURATION,
            "10s",
            "how long most brokers must have used the newer versions before a straggler is fenced");
  }

  /** The broker's own DNS-SD records. */
  private static void declareAnnouncement(Schema schema) {
    schema
        .section("announce", false)
        .required("server", ValueKind.ADDRESS, "primary DNS server of the zone")
        .required("zone", ValueKind.TEXT, "zone that is updated")
        .required("service", ValueKind.TEXT, "service name under which clients discover brokers")
        .required("instance", ValueKind.TEXT, "instance name of this broker")
        .required(
            "address", ValueKind.ADDRESS, "IP address and port at which clients reach the broker")
        .optional(
            "target",
            ValueKind.TEXT,
            null,
            "host name within the zone (default: derived from 'instance')")
        .repeatable("txt", ValueKind.TEXT, false, "string of the TXT record")
        .optional("ttl", ValueKind.DURATION, "120s", "TTL of the records")
        .optional(
            "lease",
            ValueKind.DURATION,
            "1h",
            "how long the server keeps the records without a refresh")
        .optional(
            "key",
            ValueKind.PATH,
            null,
            "file that contains NAME ALGORITHM SECRET of the TSIG key");
  }
}
