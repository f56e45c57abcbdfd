package dunlinhitch.core;

import java.util.List;

/**
 * The status of a broker at one moment; counts are since the start.
 *
 * @param classes how the requests of each class ended
 * @param tries attempts written to endpoints
 * @param inProgress queries that wait for their response
 * @param knownStores endpoints of the list
 * @param skippedStores endpoints of the list that receive nothing new: not ready, or disabled
 * @param loads configurations that were loaded again
 * @param loadErrors configurations that were rejected as invalid
 */
public record BrokerStatus(
    List<OfClass> classes,
    long tries,
    int inProgress,
    int knownStores,
    int skippedStores,
    long loads,
    long loadErrors) {
  /**
   * How the requests of one class ended.
   *
   * @param name the class
   * @param served answered, completely or in part
   * @param refused rejected: a retry is harmless
   * @param failed failed, or past their deadline
   */
  public record OfClass(String name, long served, long refused, long failed) {}

  /** Copies the list. */
  public BrokerStatus {
    classes = List.copyOf(classes);
  }
}
