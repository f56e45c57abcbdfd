package dunlinhitch.balancer;

import java.util.List;

/**
 * Estimates the service time of parts by class, from the latencies of answered parts. This is the
 * work that an attempt is charged with.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class ServiceTimes {
  /** Service time of a part before any was measured, as a share of the latency objective. */
  private static final double INITIAL_SERVICE_TIME_SHARE = 0.1;

  /** Latency of a part before any was measured, as a share of the latency objective. */
  private static final double INITIAL_LATENCY_SHARE = 0.2;

  /** Shortest latency objectives in which an estimate may grow e-fold at the most. */
  private static final double GROWTH_OBJECTIVES = 32;

  /** Latencies in the sliding window of each class. */
  private static final int WINDOW_SIZE = 64;

  /** Latencies of a class before its service time is estimated. */
  private static final int MIN_SAMPLES = WINDOW_SIZE / 8;

  /** Low quantile of the latencies, for the higher ones contain waiting. */
  private static final double SERVICE_TIME_QUANTILE = 0.1;

  /** Service time over that quantile. */
  private static final double SERVICE_TIME_FACTOR = 1.5;

  private final BalancerContext context;
  private List<ClassStatistics> classes = List.of();

  ServiceTimes(BalancerContext context) {
    this.context = context;
    applySettings();
  }

  /** Takes the classes of the settings in force; one of the same name keeps its statistics. */
  void applySettings() {
    classes =
        ClassStatistics.carryOver(
            classes, context.settings().classes(), WINDOW_SIZE, INITIAL_LATENCY_SHARE);
  }

  /** The statistics of a class by its index, the nearest for an index out of range. */
  ClassStatistics ofClass(int index) {
    return classes.get(Math.max(0, Math.min(index, classes.size() - 1)));
  }

  /** Service time of a typical part of the class. */
  double typicalUs(ClassStatistics statistics) {
    return statistics.serviceTimeUs > 0
        ? statistics.serviceTimeUs
        : statistics.queryClass().latencyObjectiveUs() * INITIAL_SERVICE_TIME_SHARE;
  }

  /** Service time of one part: the client's hint, else that of a typical part. */
  double ofPartUs(Part part) {
    return part.hintUs > 0 ? part.hintUs : typicalUs(part.query.statistics);
  }

  /** Mean service time of typical parts over all classes. */
  double meanUs() {
    double sum = 0;
    for (ClassStatistics statistics : classes) {
      sum += typicalUs(statistics);
    }
    return sum / classes.size();
  }

  /**
   * Takes the latency of an answered part. Under overload all parts wait, so the estimate may fall
   * at once but rises only slowly.
   */
  void onAnswer(ClassStatistics statistics, long latencyUs) {
    statistics.latencies.add((double) latencyUs);
    if (statistics.latencies.sampleCount() < MIN_SAMPLES) {
      return;
    }
    double timeConstantUs = GROWTH_OBJECTIVES * context.shortestObjectiveUs();
    double limitUs =
        statistics.serviceTimeUs
            / context.decaySince(statistics.serviceTimeUpdatedUs, timeConstantUs);
    double measuredUs =
        Math.max(1, SERVICE_TIME_FACTOR * statistics.latencies.quantile(SERVICE_TIME_QUANTILE));
    statistics.serviceTimeUs = limitUs > 0 ? Math.min(limitUs, measuredUs) : measuredUs;
    statistics.serviceTimeUpdatedUs = context.nowUs();
  }
}
