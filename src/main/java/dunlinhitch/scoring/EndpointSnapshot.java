package dunlinhitch.scoring;

import java.util.List;

/**
 * Snapshot of one endpoint, the input of a scorer.
 *
 * @param server its id in the load balancer
 * @param endpoint its name
 * @param cell the cell whose blocks it holds
 * @param near true if it is in the zone of this broker
 * @param slowStartWeight slow-start weight, from 0 to 1
 * @param startedMs start of its current incarnation in Unix milliseconds; 0 if it started long ago
 * @param outstandingWorkUs predicted outstanding work in microseconds, of this broker and,
 *     according to the load report, of other brokers
 * @param loadReport the last load report; empty if there is none
 * @param reportAgeUs age of the load report in microseconds
 */
public record EndpointSnapshot(
    int server,
    String endpoint,
    int cell,
    String zone,
    boolean near,
    double slowStartWeight,
    long startedMs,
    double outstandingWorkUs,
    List<Double> loadReport,
    long reportAgeUs) {
  /** Copies the load report. */
  public EndpointSnapshot {
    loadReport = List.copyOf(loadReport);
  }
}
