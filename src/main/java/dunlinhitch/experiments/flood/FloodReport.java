package dunlinhitch.experiments.flood;

import java.util.List;
import java.util.Locale;

/**
 * What a run showed.
 *
 * @param queries number of the fair clients' queries
 * @param served number of them that were served in time
 * @param refused number of them that were refused in time
 * @param lost number of them that were answered late, failed or never answered
 * @param closed number of them whose connection the broker closed
 * @param longestMs the longest time to an answer, in milliseconds
 * @param longestPageMs the longest time to an answer of the readiness and operators' pages
 * @param peakMemoryKb the largest resident memory of the broker
 * @param offenderConnections number of connections that the misbehaving clients opened
 * @param offenderBytes number of bytes that the misbehaving clients have read
 * @param suspiciousLines log lines of the broker that tell of refused memory or unhandled errors
 */
public record FloodReport(
    int queries,
    int served,
    int refused,
    int lost,
    int closed,
    long longestMs,
    long longestPageMs,
    long peakMemoryKb,
    long offenderConnections,
    long offenderBytes,
    List<String> suspiciousLines) {
  /** Creates a report with an immutable copy of the list. */
  public FloodReport {
    suspiciousLines = List.copyOf(suspiciousLines);
  }

  static String header() {
    return "trouble                 queries served refused lost closed longest page memory conns read lines";
  }

  String row(Trouble trouble) {
    return String.format(
        Locale.ROOT,
        "%-23s %7d %6d %7d %4d %6d %5d ms %4d ms %3d MB %d %d KB %d",
        trouble,
        queries,
        served,
        refused,
        lost,
        closed,
        longestMs,
        longestPageMs,
        peakMemoryKb / 1024,
        offenderConnections,
        offenderBytes / 1024,
        suspiciousLines.size());
  }
}
