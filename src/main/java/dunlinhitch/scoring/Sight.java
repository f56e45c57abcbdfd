package dunlinhitch.scoring;

import java.util.List;

/**
 * One store as the decisions see it at a moment, for the scorer to judge.
 *
 * @param server its number with the decisions
 * @param workUs predicted work outstanding, of this broker and by report of others
 * @param startedMs when its present life began, by the day's clock; 0: long ago
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
  public Sight {
    report = List.copyOf(report);
  }
}
