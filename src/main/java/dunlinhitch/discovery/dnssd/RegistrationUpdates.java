package dunlinhitch.discovery.dnssd;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.List;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.DClass;
import org.xbill.DNS.DNSInput;
import org.xbill.DNS.EDNSOption;
import org.xbill.DNS.GenericEDNSOption;
import org.xbill.DNS.Message;
import org.xbill.DNS.OPTRecord;
import org.xbill.DNS.PTRRecord;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.Section;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;
import org.xbill.DNS.Update;
import org.xbill.DNS.WireParseException;

/**
 * Builds the DNS update messages of a registration (RFC 2136). Leases are requested and granted in
 * an EDNS option (RFC 9664). Immutable.
 */
final class RegistrationUpdates {
  /** EDNS option of an update lease. */
  private static final int LEASE_OPTION = 2;

  /** Lower bound applied to granted leases, which limits the rate of refreshes. */
  private static final long MIN_LEASE_S = 5;

  private static final int IPV4_BYTES = 4;
  private final ServiceRegistration registration;
  private final ServiceRegistration.OwnerNames names;

  RegistrationUpdates(ServiceRegistration registration) {
    this.registration = registration;
    names = registration.names();
  }

  /** Returns an update that replaces the broker's records. */
  Update register() {
    long ttlS = registration.ttlS();
    Update update = new Update(names.zone());
    update.delete(names.instance(), Type.SRV);
    update.delete(names.instance(), Type.TXT);
    update.add(new PTRRecord(names.service(), DClass.IN, ttlS, names.instance()));
    update.add(
        new SRVRecord(
            names.instance(), DClass.IN, ttlS, 0, 0, registration.port(), names.target()));
    // A TXT record has at least one string (RFC 6763 section 6.1).
    List<String> txt = registration.txt().isEmpty() ? List.of("") : registration.txt();
    update.add(new TXTRecord(names.instance(), DClass.IN, ttlS, txt));
    replaceAddress(update);
    update.addRecord(leaseRequest(), Section.ADDITIONAL);
    return update;
  }

  private void replaceAddress(Update update) {
    long ttlS = registration.ttlS();
    InetAddress address = address();
    if (address.getAddress().length == IPV4_BYTES) {
      update.delete(names.target(), Type.A);
      update.add(new ARecord(names.target(), DClass.IN, ttlS, address));
    } else {
      update.delete(names.target(), Type.AAAA);
      update.add(new AAAARecord(names.target(), DClass.IN, ttlS, address));
    }
  }

  private InetAddress address() {
    try {
      return InetAddress.getByName(registration.host());
    } catch (UnknownHostException exception) {
      throw new IllegalArgumentException("not an IP address: " + registration.host(), exception);
    }
  }

  private OPTRecord leaseRequest() {
    long leaseS = registration.leaseS();
    byte[] data = {
      (byte) (leaseS >> 24), (byte) (leaseS >> 16), (byte) (leaseS >> 8), (byte) leaseS
    };
    EDNSOption option = new GenericEDNSOption(LEASE_OPTION, data);
    return new OPTRecord(Resolver.UDP_PAYLOAD_BYTES, 0, 0, 0, List.of(option));
  }

  /** Returns an update that removes the broker's records. */
  Update withdraw() {
    Update update = new Update(names.zone());
    update.delete(new PTRRecord(names.service(), DClass.IN, 0, names.instance()));
    update.delete(names.instance());
    update.delete(names.target());
    return update;
  }

  /** Returns the granted lease, or the requested one if the response has no valid lease option. */
  long grantedLeaseS(Message response) {
    OPTRecord opt = response.getOPT();
    if (opt == null || opt.getOptions(LEASE_OPTION).isEmpty()) {
      return registration.leaseS();
    }
    EDNSOption option = opt.getOptions(LEASE_OPTION).get(0);
    try {
      DNSInput in = new DNSInput(option.toWire());
      in.readU16(); // skips the option code
      in.readU16(); // skips the option length
      return Math.max(MIN_LEASE_S, in.readU32());
    } catch (WireParseException exception) {
      return registration.leaseS();
    }
  }
}
