package dunlinhitch.discovery.dnssd;

import java.util.List;
import org.xbill.DNS.Name;

/**
 * The DNS-SD records that describe this broker.
 *
 * @param names owner names of the records
 * @param host IP address at which clients reach the broker
 * @param port port at which clients reach the broker
 * @param txt strings of the TXT record
 * @param ttlS TTL of the records in seconds
 * @param leaseS requested lease in seconds
 */
record ServiceRegistration(
    OwnerNames names, String host, int port, List<String> txt, long ttlS, long leaseS) {
  /**
   * Names of the registration.
   *
   * @param zone zone that is updated
   * @param service name of the PTR record
   * @param instance name of the SRV and TXT records
   * @param target host name, of the address record
   */
  record OwnerNames(Name zone, Name service, Name instance, Name target) {}
}
