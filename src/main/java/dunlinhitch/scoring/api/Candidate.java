package dunlinhitch.scoring.api;

import java.util.List;

/**
 * Snapshot of one endpoint at the beginning of a round.
 *
 * @param store name of the endpoint, the same at all brokers
 * @param cell number of its cell; the endpoints of one cell hold the same blocks and are
 *     interchangeable
 * @param zone zone of the endpoint
 * @param near true if this broker is in the same zone
 * @param warmth slow-start weight: the fraction of its capacity that it has reached since its
 *     start, from 0 to 1
 * @param startedMs start of its current incarnation in Unix milliseconds, 0 if it started long ago;
 *     observations of other incarnations do not apply
 * @param workUs predicted outstanding work in microseconds, of this broker and, according to the
 *     load report, of other brokers
 * @param report the last load report, in the order of the fields in the settings; empty if there is
 *     none
 * @param reportAgeUs age of the load report in microseconds
 * @param endings attempts of this query class that completed since the last round, the earliest
 *     first; if there are too many to retain, only the latest
 * @param fleet merged weight of the other brokers' scorers of the same name, version and parameters
 */
public record Candidate(
    String store,
    int cell,
    String zone,
    boolean near,
    double warmth,
    long startedMs,
    double workUs,
    List<Double> report,
    long reportAgeUs,
    List<Ending> endings,
    FleetWeight fleet) {
  /** Copies the lists. */
  public Candidate {
    report = List.copyOf(report);
    endings = List.copyOf(endings);
  }
}
