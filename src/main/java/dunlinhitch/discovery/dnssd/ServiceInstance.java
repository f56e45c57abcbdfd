package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.EndpointClaim;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.xbill.DNS.Name;

/**
 * One instance of the service (RFC 6763 section 4): the record sets that describe it and the claims
 * last derived from them. Owned by {@link ServiceRecords}; compared by identity.
 */
final class ServiceInstance {
  final Name name;

  /** The browsed names whose PTR sets list the instance. */
  final Set<Name> browsedNames = new HashSet<>();

  /** The SRV record set; null once the instance is no longer listed. */
  RecordSet srv;

  RecordSet txt;
  final Map<Name, RecordSet> ipv4Addresses = new LinkedHashMap<>();
  final Map<Name, RecordSet> ipv6Addresses = new LinkedHashMap<>();

  /** The claims that were last emitted, by claim key. */
  Map<String, EndpointClaim> claims = new LinkedHashMap<>();

  /**
   * True if an authoritative answer or a push removed the instance, so that its claims are
   * withdrawn. False for an instance that is only missing from a non-authoritative answer.
   */
  boolean withdrawn;

  /** When the claims of an instance expire that a non-authoritative answer has removed. */
  long lapseUs;

  /** Reason why the records describe no usable endpoint; empty if they describe one. */
  String fault = "";

  ServiceInstance(Name name) {
    this.name = name;
  }

  /** Returns true once both the SRV and the TXT set have been answered. */
  boolean isDescribed() {
    return srv != null && srv.isAnswered() && txt.isAnswered();
  }

  /** Returns true if the instance was removed without the withdrawal of its claims. */
  boolean isLapsing() {
    return srv == null && !withdrawn;
  }

  /**
   * Returns the IPv4 address set of a host, or its IPv6 address set if the server has answered that
   * the host has no IPv4 address.
   */
  RecordSet addressesOf(Name host) {
    RecordSet ipv4 = ipv4Addresses.get(host);
    return ipv4.isNegative() ? ipv6Addresses.get(host) : ipv4;
  }
}
