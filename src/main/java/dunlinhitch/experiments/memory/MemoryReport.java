package dunlinhitch.experiments.memory;

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
 */
record MemoryReport(
    String crowd, long peakMb, int asked, int served, long connections, boolean running) {
  static String header() {
    return "crowd                       peak  asked served  connections running";
  }

  String row() {
    return String.format(
        Locale.ROOT,
        "%-24s %4d MB %6d %6d %12d %s",
        crowd,
        peakMb,
        asked,
        served,
        connections,
        running);
  }
}
