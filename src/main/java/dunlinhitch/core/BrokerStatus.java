package dunlinhitch.core;

import java.util.List;

/** What a broker reports of itself at one moment; the counts are since the start. */
public record BrokerStatus(
    List<OfClass> classes,
    long tries,
    int inProgress,
    int knownStores,
    int skippedStores,
    long loads,
    long loadErrors) {
  /** How requests of one class ended. */
  public record OfClass(String name, long served, long refused, long failed) {}

  public BrokerStatus {
    classes = List.copyOf(classes);
  }
}
