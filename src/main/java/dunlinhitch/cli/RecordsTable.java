package dunlinhitch.cli;

import dunlinhitch.discovery.dnssd.DnsDiscoverySource;
import dunlinhitch.discovery.dnssd.ServiceRecords;
import dunlinhitch.endpoints.Endpoint;
import dunlinhitch.endpoints.EndpointChange;
import dunlinhitch.endpoints.EndpointRegistry;
import dunlinhitch.endpoints.EndpointStatus;
import dunlinhitch.endpoints.TimingWheel;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/** Formats the output of {@link RecordsCommand}. */
final class RecordsTable {
  private static final long MICROS_PER_MILLI = 1000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  private RecordsTable() {}

  /**
   * Returns a header and one line per endpoint, per unusable instance and per source. Column {@code
   * says} is the lifecycle state in the endpoint's records. Column {@code left} is the time until
   * they expire: {@code followed} if they do not expire, {@code over} if they have expired. Column
   * {@code why} is the reason for the status.
   */
  static String format(
      EndpointRegistry registry, List<DnsDiscoverySource> sources, boolean showSource, long nowUs) {
    StringBuilder out =
        new StringBuilder(
            String.format(
                "%-20s %-24s %5s %-9s %8s  %-12s %s%n",
                "store", "address", "cell", "says", "left", "status", "why"));
    registry.rows().stream()
        .sorted(Comparator.comparing(EndpointRegistry.Row::name))
        .forEach(row -> out.append(formatRow(row, showSource, nowUs)));
    for (DnsDiscoverySource source : sources) {
      appendSource(out, source);
    }
    return out.toString();
  }

  private static String formatRow(EndpointRegistry.Row row, boolean showSource, long nowUs) {
    Endpoint endpoint = row.endpoint();
    return String.format(
        "%-20s %-24s %5s %-9s %8s  %-12s %s%s%n",
        row.name(),
        endpoint == null ? "" : endpoint.host() + ":" + endpoint.port(),
        endpoint == null ? "" : endpoint.cell(),
        endpoint == null ? "" : endpoint.state().name().toLowerCase(Locale.ROOT),
        remainingTime(row.expiresUs(), nowUs),
        label(row.status()),
        row.reason().message(),
        showSource ? " [" + row.source() + "]" : "");
  }

  private static String remainingTime(long untilUs, long nowUs) {
    if (untilUs == TimingWheel.NEVER) {
      return "followed";
    }
    return untilUs <= nowUs ? "over" : (untilUs - nowUs) / MICROS_PER_SECOND + " s";
  }

  private static void appendSource(StringBuilder out, DnsDiscoverySource source) {
    for (ServiceRecords.InstanceDescription instance : source.describeInstances()) {
      if (!instance.fault().isEmpty()) {
        out.append("instance \"")
            .append(instance.instance())
            .append("\" is unusable: ")
            .append(instance.fault())
            .append('\n');
      }
    }
    out.append(source.name()).append(answerState(source)).append('\n');
  }

  private static String answerState(DnsDiscoverySource source) {
    if (!source.hasAnswered()) {
      return ": no answer";
    }
    return source.isPushSessionUp() ? ": answers, push session up" : ": answers";
  }

  /** Returns the line for a change at {@code nowUs}, in Unix microseconds. */
  static String formatChange(EndpointChange change, long nowUs) {
    return Instant.ofEpochMilli(nowUs / MICROS_PER_MILLI)
        + " "
        + change.endpoint().name()
        + " "
        + label(change.status())
        + ": "
        + change.reason().message();
  }

  private static String label(EndpointStatus status) {
    return status.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }
}
