package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.QueryClass;
import java.util.List;

/**
 * A query class and the statistics of its parts. Identified by the name of the class, because its
 * index may change with the settings.
 *
 * <p>Not thread-safe; {@link ServiceTimes} owns it.
 */
final class ClassStatistics {
  private QueryClass queryClass;

  /** Latencies of answered parts, in microseconds. */
  final SampleWindow latencies;

  /** Estimated service time of a part; 0 before the first measurement. */
  double serviceTimeUs;

  /** Time at which {@link #serviceTimeUs} was last updated. */
  long serviceTimeUpdatedUs;

  /** The longest client timeout of a query of this class. */
  long longestTimeoutUs;

  private ClassStatistics(QueryClass queryClass, SampleWindow latencies) {
    this.queryClass = queryClass;
    this.latencies = latencies;
  }

  /** The class as defined by the current settings. */
  QueryClass queryClass() {
    return queryClass;
  }

  /**
   * Returns the statistics of each class in order: the existing ones of the same name if any,
   * otherwise new ones.
   */
  static List<ClassStatistics> carryOver(
      List<ClassStatistics> previous,
      List<QueryClass> classes,
      int windowSize,
      double initialLatencyShare) {
    List<ClassStatistics> carried =
        classes.stream()
            .map(queryClass -> find(previous, queryClass, windowSize, initialLatencyShare))
            .toList();
    for (int i = 0; i < carried.size(); i++) {
      carried.get(i).queryClass = classes.get(i);
    }
    return carried;
  }

  private static ClassStatistics find(
      List<ClassStatistics> previous,
      QueryClass queryClass,
      int windowSize,
      double initialLatencyShare) {
    for (ClassStatistics statistics : previous) {
      if (statistics.queryClass.name().equals(queryClass.name())) {
        return statistics;
      }
    }
    double initialLatencyUs = queryClass.latencyObjectiveUs() * initialLatencyShare;
    return new ClassStatistics(queryClass, new SampleWindow(windowSize, initialLatencyUs));
  }
}
