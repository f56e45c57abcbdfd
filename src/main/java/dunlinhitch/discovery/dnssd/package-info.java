/**
 * DNS-based service discovery: reads endpoint lists from the records of a DNS server (RFC 6763),
 * follows their changes by DNS Push Notifications (RFC 8765), and registers the broker itself by
 * signed dynamic updates (RFC 2136, RFC 8945).
 *
 * <p>Entry points are {@link dunlinhitch.discovery.dnssd.DnsDiscoverySource} for one server and
 * service, and {@link dunlinhitch.discovery.dnssd.RecordRegistrar} for the broker's own records.
 * Both run on the event loop. {@link dunlinhitch.discovery.dnssd.ServiceRecords}, the push session
 * and the registration are state machines without I/O, clock or threads: their inputs are events
 * and the current time, their outputs are queries, claims and actions. All times are in
 * microseconds unless a name states another unit.
 *
 * <p>The package only emits claims; the endpoint registry merges the claims of all sources and
 * decides which endpoints are used. The server loads the package only if DNS-SD is configured.
 */
package dunlinhitch.discovery.dnssd;
