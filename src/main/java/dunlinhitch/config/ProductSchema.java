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
            "discovery",
            ValueKind.SWITCH,
            "on",
            "whether the platform's list of stores is followed")
        .optional(
            "state_dir", ValueKind.PATH, null, "where the last known state is kept over restarts");
  }

  /** The Arrow Flight frontend. */
  private static void declareFlight(Schema schema) {
    schema
        .section("flight", false)
        .required("listen", ValueKind.ADDRESS, "where the Arrow Flight front listens");
  }

  /** A DNS-SD service as a discovery source. */
  private static void declareDnsService(Schema schema) {
    schema
        .section("dns_sd", true)
        .repeatable(
            "server",
            ValueKind.ADDRESS,
            true,
            "a DNS server, by its IP address; each is a source of its own")
        .required(
            "service", ValueKind.TEXT, "the service, such as _calendar._tcp.rooms.example.org")
        .repeatable("subtype", ValueKind.TEXT, false, "only instances of this subtype")
        .optional(
            "rank",
            ValueKind.COUNT,
            "1",
            "standing among sources that disagree; lower goes first, discovery has 0")
        .optional(
            "zone",
            ValueKind.TEXT,
            null,
            "the zone whose serial is asked for (the service's domain)")
        .optional(
            "soa_every",
            ValueKind.DURATION,
            "0s",
            "how often the zone's serial is asked for; 0s: never")
        .optional("push", ValueKind.ADDRESS, null, "a server of DNS Push Notifications over TLS")
        .optional(
            "push_trust",
            ValueKind.PATH,
            null,
            "PEM file of the authorities that may vouch for it (the system's)")
        .optional(
            "push_name",
            ValueKind.TEXT,
            null,
            "the name that its certificate must have (that of push)")
        .optional("instances", ValueKind.COUNT, "4096", "instances that are taken at the most");
  }

  /** Times of the endpoint registry. */
  private static void declareMembership(Schema schema) {
    schema
        .section("membership", false)
        .optional(
            "linger",
            ValueKind.DURATION,
            "10s",
            "how long a withdrawn store may come back as the same")
        .optional(
            "stale_for", ValueKind.DURATION, "1h", "how long records are kept past their time")
        .optional(
            "hold",
            ValueKind.DURATION,
            "500ms",
            "what the second return within calm waits; each further one twice")
        .optional("hold_most", ValueKind.DURATION, "30s", "the longest that a return waits")
        .optional(
            "calm",
            ValueKind.DURATION,
            "1m",
            "after so long without a withdrawal returns are free again");
  }

  /** A query class that may run in two phases. */
  private static void declarePhases(Schema schema) {
    schema
        .section("phases", true)
        .optional(
            "share",
            ValueKind.PERCENT,
            "30%",
            "of the time to the aim, the most that the first pass may take")
        .optional("least", ValueKind.COUNT, "3", "with fewer blocks a query goes in one phase")
        .optional(
            "trial",
            ValueKind.PERCENT,
            "2%",
            "of queries that try two phases while it does not seem to pay")
        .optional(
            "audit",
            ValueKind.PERCENT,
            "2%",
            "of spared blocks that are asked in full all the same")
        .optional("margin", ValueKind.PERCENT, "5%", "of the work that must be saved for it to pay")
        .optional(
            "close_for",
            ValueKind.DURATION,
            "1m",
            "how long it is closed after a block was spared that had something");
  }

  /** The cluster of brokers: its addresses and subsets. */
  private static void declareCluster(Schema schema) {
    SectionSchema cluster = schema.section("fleet", false);
    cluster
        .optional(
            "listen",
            ValueKind.ADDRESS,
            null,
            "where this broker hears the others, UDP (the platform's peer_listen)")
        .optional(
            "advertise", ValueKind.ADDRESS, null, "where the others reach it (that of listen)")
        .repeatable(
            "peer",
            ValueKind.ADDRESS,
            false,
            "where another broker may be heard; its own may stand among them (the platform's)")
        .optional(
            "least",
            ValueKind.COUNT,
            "2",
            "stores of a cell that each broker keeps to at the least")
        .optional(
            "slack",
            ValueKind.PERCENT,
            "20%",
            "how far the brokers at one store may be over the mean");
    declareClusterTimes(cluster);
  }

  /** The cluster of brokers: failure detection, health checks and version skew. */
  private static void declareClusterTimes(SectionSchema cluster) {
    cluster
        .optional(
            "look",
            ValueKind.DURATION,
            "200ms",
            "how often one other broker is asked whether it lives")
        .optional(
            "suspect", ValueKind.DURATION, "1s", "how long one that does not answer still counts")
        .optional("turn", ValueKind.DURATION, "2s", "one of all brokers probes a store so often")
        .optional(
            "behind",
            ValueKind.DURATION,
            "1500ms",
            "on older settings or an older list for so long a broker is a straggler")
        .optional(
            "shut_out",
            ValueKind.DURATION,
            "10s",
            "when most have held the newer for so long it is shut out");
  }

  /** The broker's own DNS-SD records. */
  private static void declareAnnouncement(Schema schema) {
    schema
        .section("announce", false)
        .required("server", ValueKind.ADDRESS, "the zone's primary server")
        .required("zone", ValueKind.TEXT, "the zone that is updated")
        .required("service", ValueKind.TEXT, "the service that brokers are found under")
        .required("instance", ValueKind.TEXT, "this broker's name among them")
        .required("address", ValueKind.ADDRESS, "where clients reach it; an IP address")
        .optional(
            "target", ValueKind.TEXT, null, "the host's name within the zone (that of instance)")
        .repeatable("txt", ValueKind.TEXT, false, "a word of its TXT record")
        .optional("ttl", ValueKind.DURATION, "120s", "of its records")
        .optional(
            "lease", ValueKind.DURATION, "1h", "how long the server keeps them without a word")
        .optional("key", ValueKind.PATH, null, "file with NAME ALGORITHM SECRET of the TSIG key");
  }
}
