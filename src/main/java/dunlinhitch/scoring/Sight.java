package dunlinhitch.scoring;

import java.util.List;

/**
 * Snapshot of one endpoint, the input of a scorer.
 *
 * @param server its number with the load balancer
 * @param store its name
 * @param cell the cell whose blocks it holds
 * @param near true if it is in the zone of this broker
 * @param warmth slow-start weight, from 0 to 1
 * @param startedMs start of its present incarnation in Unix milliseconds; 0 if long ago
 * @param workUs predicted outstanding work in microseconds, of this broker and, by the load report,
 *     of others
 * @param report the last load report; empty if there is none
 * @param reportAgeUs age of the load report in microseconds
 */
public record Sight(
    int server,
    String store,
    int cell,
    String zone,
    boolean near,
    double warmth,
    long startedMs,
    double workUs,
    List<Double> report,
    long reportAgeUs) {
  /** Copies the load report. */
  public Sight {
    report = List.copyOf(report);
  }
}
