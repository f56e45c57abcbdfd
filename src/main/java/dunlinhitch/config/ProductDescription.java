package dunlinhitch.config;

/** Summarizes a {@link Product} for operators, with one line per enabled setting. */
final class ProductDescription {
  private static final long US_PER_MS = 1_000;
  private static final long US_PER_S = 1_000_000;
  private static final int PERCENT = 100;

  private final StringBuilder out = new StringBuilder();

  private ProductDescription() {}

  static String of(Product product) {
    ProductDescription description = new ProductDescription();
    description.appendFrontends(product);
    product.dnsSd().forEach(description::appendDnsService);
    product.phases().forEach(description::appendPhase);
    if (product.cluster() != null) {
      description.appendCluster(product.cluster());
    }
    if (product.announcement() != null) {
      description.appendAnnouncement(product.announcement());
    }
    if (product.stateDir() != null) {
      description.out.append("state: stored in ").append(product.stateDir()).append('\n');
    }
    if (product.membership() != null) {
      description.appendMembership(product.membership());
    }
    return description.out.toString();
  }

  private void appendFrontends(Product product) {
    out.append("discovery: ").append(product.discovery() ? "followed" : "not followed");
    out.append('\n');
    if (product.flight() != null) {
      out.append("flight: listens on ").append(product.flight().hostAndPort()).append('\n');
    }
  }

  private void appendDnsService(Product.DnsService service) {
    out.append("dns_sd ").append(service.name()).append(": ").append(service.service());
    service.subtypes().forEach(subtype -> out.append(", subtype ").append(subtype));
    service.servers().forEach(server -> out.append(", at ").append(server.hostAndPort()));
    out.append(", rank ").append(service.rank());
    if (service.push() != null) {
      out.append(", push from ").append(service.push().hostAndPort());
    }
    if (service.soaEveryUs() > 0) {
      out.append(", serial polled every ").append(service.soaEveryUs() / US_PER_MS).append(" ms");
    }
    out.append('\n');
  }

  private void appendPhase(Product.TwoPhaseClass phase) {
    out.append("phases ").append(phase.queryClass());
    out.append(": first pass takes at most ").append(Math.round(PERCENT * phase.firstPassShare()));
    out.append(" % of the latency objective; used for queries with ").append(phase.minBlocks());
    out.append(" or more blocks, audit ").append(PERCENT * phase.auditShare());
    out.append(" %, trial ").append(PERCENT * phase.trialShare()).append(" %\n");
  }

  private void appendCluster(Product.Cluster cluster) {
    out.append("fleet: listens for gossip on ").append(cluster.listen().hostAndPort());
    out.append(", joins through ").append(cluster.peers().size());
    out.append(" peers, uses at least ").append(cluster.minSubset());
    out.append(" stores of each cell, health check interval ");
    out.append(cluster.healthCheckIntervalUs() / US_PER_MS).append(" ms\n");
  }

  private void appendAnnouncement(Product.Announcement announcement) {
    out.append("announce: ").append(announcement.instance());
    out.append(" as ").append(announcement.service());
    out.append(" at ").append(announcement.server().hostAndPort());
    out.append(announcement.key() == null ? ", not signed" : ", signed").append('\n');
  }

  private void appendMembership(Product.MembershipTimes times) {
    out.append("membership: linger ").append(times.lingerUs() / US_PER_MS);
    out.append(" ms, stale for ").append(times.staleForUs() / US_PER_S);
    out.append(" s, hold ").append(times.returnDelayUs() / US_PER_MS);
    out.append(" to ").append(times.maxReturnDelayUs() / US_PER_MS);
    out.append(" ms, calm ").append(times.calmUs() / US_PER_MS).append(" ms\n");
  }
}
