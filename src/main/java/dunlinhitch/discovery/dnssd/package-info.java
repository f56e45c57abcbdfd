/**
 * DNS-based service discovery: reads endpoint lists from the records of a DNS server (RFC 6763),
 * follows their changes by DNS Push Notifications (RFC 8765), and registers the broker itself by
 * signed dynamic updates (RFC 2136, RFC 8945).
 *
 * <p>Entry points are {@link dunlinhitch.discovery.dnssd.DnsDiscoverySource} for one server and
 * service, and {@link dunlinhitch.discovery.dnssd.RecordRegistrar} for the broker's own records.
 * Both run on the event loop. {@link dunlinhitch.discovery.dnssd.Records}, the push session and the
 * registration are state machines without I/O, clock or threads: events and the current time go in,
 * queries, claims and actions come out. All times are microseconds unless a name says otherwise.
 *
 * <p>The package must not decide which endpoints are used: it emits claims, and the endpoint
 * registry merges those of all sources. The server loads it only where DNS-SD is configured.
 */
package dunlinhitch.discovery.dnssd;
