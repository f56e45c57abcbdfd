package dunlinhitch.scoring.api;

import java.util.List;

/**
 * One store as this broker knows it at the beginning of a round.
 *
 * @param store its name, the same at all brokers
 * @param cell stores of one cell hold the same blocks: only among them is there a choice
 * @param zone where it stands
 * @param near true where this broker stands in the same zone
 * @param warmth from 0 to 1: the share of its capacity that it is sure to have since its start
 * @param startedMs when its present life began, Unix time in milliseconds; 0: long ago. What was
 *     seen of another life says nothing of this one
 * @param workUs predicted work outstanding there, of this broker and of others by the store's
 *     report, in µs
 * @param report the load that the store last told, in the order of the settings' fields; empty
 *     where it told none
 * @param reportAgeUs how old that is
 * @param endings attempts of this class that ended there since the last round, the earliest first;
 *     not all of them where they are very many
 * @param fleet what the other brokers' scorers of the same name, version and parameters say of it
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
  public Candidate {
    report = List.copyOf(report);
    endings = List.copyOf(endings);
  }
}
