package dunlinhitch.discovery.dnssd;

import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointClaim;
import java.net.InetAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.xbill.DNS.AAAARecord;
import org.xbill.DNS.ARecord;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.SRVRecord;
import org.xbill.DNS.TXTRecord;
import org.xbill.DNS.Type;

/**
 * Builds endpoint claims from the records of an instance and requests the address records that are
 * still missing. Multiple SRV records, or multiple TXT records, of one instance contradict each
 * other. Each combination of an SRV and a TXT record therefore becomes a separate claim.
 */
final class ClaimBuilder {
  /** Maximum number of records used from one record set. */
  private static final int MAX_RECORDS_IN_SET = 16;

  private final RecordCache cache;
  private final TxtRecordParser parser;
  private final Consumer<AnswerFault> faults;

  ClaimBuilder(RecordCache cache, TxtRecordParser parser, Consumer<AnswerFault> faults) {
    this.cache = cache;
    this.parser = parser;
    this.faults = faults;
  }

  /** Returns the claims by key, or null until all required record sets have been answered. */
  Map<String, EndpointClaim> build(ServiceInstance instance) {
    instance.fault = "";
    if (!instance.isDescribed()) {
      return null;
    }
    List<SRVRecord> targets = preferredTargets(instance.srv.records());
    requestAddresses(instance, targets);
    List<TXTRecord> texts = sortedTexts(instance.txt.records());
    Map<String, EndpointClaim> claims = new LinkedHashMap<>();
    for (SRVRecord target : targets) {
      RecordSet addresses = instance.addressesOf(target.getTarget());
      if (!addresses.isAnswered()) {
        return null;
      }
      if (addresses.records().isEmpty()) {
        reportFault(instance, target.getTarget() + " has no A or AAAA record");
        continue;
      }
      addClaims(instance, target, addresses, texts, claims);
    }
    if (claims.isEmpty() && instance.fault.isEmpty()) {
      instance.fault = instance.srv.records().isEmpty() ? "no SRV record" : "no TXT record";
    }
    return claims;
  }

  /** Returns the claims of an instance that was removed without a withdrawal, with their expiry. */
  List<EndpointClaim> lapsed(ServiceInstance instance) {
    return instance.claims.values().stream()
        .filter(claim -> claim.expiresUs() > instance.lapseUs)
        .map(
            claim ->
                new EndpointClaim(claim.key(), claim.endpoint(), cache.nowUs(), instance.lapseUs))
        .toList();
  }

  private void addClaims(
      ServiceInstance instance,
      SRVRecord target,
      RecordSet addresses,
      List<TXTRecord> texts,
      Map<String, EndpointClaim> claims) {
    String host = lowestAddress(addresses.records());
    long describedUntilUs = Math.min(instance.srv.expiresUs(), instance.txt.expiresUs());
    long expiresUs = Math.min(describedUntilUs, addresses.expiresUs());
    for (int i = 0; i < texts.size(); i++) {
      String key = claimKey(instance, target, i);
      try {
        Endpoint endpoint = parser.endpoint(texts.get(i), host, target.getPort());
        claims.put(key, claim(key, endpoint, expiresUs, instance.claims.get(key)));
      } catch (IllegalArgumentException exception) {
        reportFault(instance, String.valueOf(exception.getMessage()));
      }
    }
  }

  /** Returns the claim key. It is persisted, so that a later process can withdraw the claim. */
  private static String claimKey(ServiceInstance instance, SRVRecord target, int textIndex) {
    return Names.canonicalText(instance.name)
        + "|"
        + Names.canonicalText(target.getTarget())
        + ":"
        + target.getPort()
        + "|"
        + textIndex;
  }

  /** Returns the previous claim if nothing has changed, so that it is not emitted again. */
  private EndpointClaim claim(
      String key, Endpoint endpoint, long expiresUs, EndpointClaim previous) {
    boolean unchanged =
        previous != null
            && previous.endpoint().equals(endpoint)
            && previous.expiresUs() == expiresUs;
    return unchanged ? previous : new EndpointClaim(key, endpoint, cache.nowUs(), expiresUs);
  }

  private void reportFault(ServiceInstance instance, String fault) {
    instance.fault = fault;
    faults.accept(AnswerFault.INVALID_INSTANCE);
  }

  /**
   * Returns the SRV records with the lowest priority value (RFC 2782), in an order that is
   * independent of the response. A target of "." means that the service is not available.
   */
  private static List<SRVRecord> preferredTargets(Collection<Record> records) {
    List<SRVRecord> available =
        records.stream()
            .map(record -> (SRVRecord) record)
            .filter(srv -> !srv.getTarget().equals(Name.root))
            .toList();
    int lowest = available.stream().mapToInt(SRVRecord::getPriority).min().orElse(0);
    return available.stream()
        .filter(srv -> srv.getPriority() == lowest)
        .sorted(
            Comparator.comparing((SRVRecord srv) -> Names.canonicalText(srv.getTarget()))
                .thenComparing(SRVRecord::getPort))
        .limit(MAX_RECORDS_IN_SET)
        .toList();
  }

  private static List<TXTRecord> sortedTexts(Collection<Record> records) {
    return records.stream()
        .map(record -> (TXTRecord) record)
        .sorted(Comparator.comparing(TXTRecord::rdataToString))
        .limit(MAX_RECORDS_IN_SET)
        .toList();
  }

  /**
   * Requests IPv4 addresses for all hosts, and IPv6 addresses for hosts without an IPv4 address.
   */
  private void requestAddresses(ServiceInstance instance, List<SRVRecord> targets) {
    Set<Name> hosts = new LinkedHashSet<>();
    targets.forEach(srv -> hosts.add(srv.getTarget()));
    requestSets(instance, instance.ipv4Addresses, hosts, Type.A);
    Set<Name> hostsWithoutIpv4 = new LinkedHashSet<>();
    instance.ipv4Addresses.forEach(
        (host, set) -> {
          if (set.isNegative()) {
            hostsWithoutIpv4.add(host);
          }
        });
    requestSets(instance, instance.ipv6Addresses, hostsWithoutIpv4, Type.AAAA);
  }

  private void requestSets(
      ServiceInstance instance, Map<Name, RecordSet> acquired, Set<Name> hosts, int type) {
    for (Name host : List.copyOf(acquired.keySet())) {
      if (!hosts.contains(host)) {
        cache.release(instance, acquired.remove(host));
      }
    }
    for (Name host : hosts) {
      acquired.computeIfAbsent(host, absent -> cache.acquire(instance, new Question(absent, type)));
    }
  }

  /** Returns the first address in text order, so that all brokers select the same address. */
  private static String lowestAddress(Collection<Record> records) {
    return records.stream()
        .map(ClaimBuilder::address)
        .map(InetAddress::getHostAddress)
        .min(Comparator.naturalOrder())
        .orElseThrow();
  }

  private static InetAddress address(Record record) {
    return record instanceof ARecord ipv4 ? ipv4.getAddress() : ((AAAARecord) record).getAddress();
  }
}
