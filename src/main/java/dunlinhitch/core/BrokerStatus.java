package dunlinhitch.core;

import java.util.List;

/**
 * The status of a broker at one point in time. Counts are totals since the start of the process.
 *
 * @param classes how the requests of each class ended
 * @param attemptsWritten attempts written to endpoints
 * @param openQueries queries without a response yet
 * @param listedEndpoints endpoints in the endpoint list
 * @param skippedEndpoints listed endpoints that receive no new attempts because they are not ready
 *     or are disabled
 * @param configurationLoads successful reloads of the configuration
 * @param configurationLoadErrors configurations rejected as invalid
 */
public record BrokerStatus(
    List<ClassCounts> classes,
    long attemptsWritten,
    int openQueries,
    int listedEndpoints,
    int skippedEndpoints,
    long configurationLoads,
    long configurationLoadErrors) {
  /**
   * How the requests of one class ended.
   *
   * @param name the class
   * @param served answered, completely or in part
   * @param rejected rejected, so that a retry is safe
   * @param failed failed, or ended by their deadline
   */
  public record ClassCounts(String name, long served, long rejected, long failed) {}

  /** Copies the list. */
  public BrokerStatus {
    classes = List.copyOf(classes);
  }
}
