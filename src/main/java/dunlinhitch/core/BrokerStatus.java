package dunlinhitch.core;

import java.util.List;

/**
 * The status of a broker at one moment; counts are since the start.
 *
 * @param classes how the requests of each class ended
 * @param attemptsWritten attempts written to endpoints
 * @param openQueries queries that wait for their response
 * @param listedEndpoints endpoints of the list
 * @param skippedEndpoints endpoints of the list that receive nothing new: not ready, or disabled
 * @param configurationLoads configurations that were loaded again
 * @param configurationLoadErrors configurations that were rejected as invalid
 */
public record BrokerStatus(
    List<OfClass> classes,
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
   * @param rejected rejected: a retry is harmless
   * @param failed failed, or past their deadline
   */
  public record OfClass(String name, long served, long rejected, long failed) {}

  /** Copies the list. */
  public BrokerStatus {
    classes = List.copyOf(classes);
  }
}
