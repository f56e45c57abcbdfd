package dunlinhitch.core;

import java.util.List;

/**
 * The status of a broker at one point in time. Counts are totals since the start of the process.
 *
 * @param classes numbers of requests of each class by outcome
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
   * Numbers of requests of one class by outcome.
   *
   * @param name the class
   * @param served requests answered, completely or partially
   * @param rejected requests rejected; clients may safely retry them
   * @param failed requests that failed or whose deadline was exceeded
   */
  public record ClassCounts(String name, long served, long rejected, long failed) {}

  /** Copies the list. */
  public BrokerStatus {
    classes = List.copyOf(classes);
  }
}
