package dunlinhitch.experiments.memory;

import java.util.List;
import java.util.Locale;

/**
 * What one crowd showed.
 *
 * @param crowd name of the crowd
 * @param peakMb peak of the resident set and the files together
 * @param asked number of usual clients' queries
 * @param served number of them that were served in time
 * @param connections number of connections that the crowd opened
 * @param running whether the process ran at the end
 * @param suspiciousLines log lines so far that tell of refused memory or unhandled errors
 */
record MemoryReport(
    String crowd,
    long peakMb,
    int asked,
    int served,
    long connections,
    boolean running,
    List<String> suspiciousLines) {
  private static final int MAX_LINES = 3;

  MemoryReport {
    suspiciousLines = List.copyOf(suspiciousLines);
  }

  static String header() {
    return "crowd                       peak  asked served  connections running";
  }

  String row() {
    return String.format(
        Locale.ROOT,
        "%-24s %4d MB %6d %6d %12d %s %s",
        crowd,
        peakMb,
        asked,
        served,
        connections,
        running,
        String.join("; ", suspiciousLines.stream().limit(MAX_LINES).toList()));
  }
}
