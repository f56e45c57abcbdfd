package dunlinhitch.balancer;

import java.util.List;

/**
 * Estimates the service time of parts by class, from the latencies of answered parts. An attempt is
 * charged with this amount of work.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class ServiceTimes {
  /** Initial service time of a part, as a fraction of the latency objective. */
  private static final double INITIAL_SERVICE_TIME_SHARE = 0.1;

  /** Initial latency of a part, as a fraction of the latency objective. */
  private static final double INITIAL_LATENCY_SHARE = 0.2;

  /**
   * Time within which an estimate grows by at most the factor e, as a multiple of the shortest
   * latency objective.
   */
  private static final double GROWTH_OBJECTIVES = 32;

  /** Number of latencies in the sliding window of each class. */
  private static final int WINDOW_SIZE = 64;

  /** Number of latencies of a class that are needed to estimate its service time. */
  private static final int MIN_SAMPLES = WINDOW_SIZE / 8;

  /**
   * Quantile of the latencies on which the service time is based; higher quantiles include queueing
   * time.
   */
  private static final double SERVICE_TIME_QUANTILE = 0.1;

  /** Ratio of the service time to the latency at {@link #SERVICE_TIME_QUANTILE}. */
  private static final double SERVICE_TIME_FACTOR = 1.5;

  private final BalancerContext context;
  private List<ClassStatistics> classes = List.of();

  ServiceTimes(BalancerContext context) {
    this.context = context;
    applySettings();
  }

  /** Applies the classes of the current settings; a class of the same name keeps its statistics. */
  void applySettings() {
    classes =
        ClassStatistics.carryOver(
            classes, context.settings().classes(), WINDOW_SIZE, INITIAL_LATENCY_SHARE);
  }

  /** The statistics of a class by its index; an index out of range is clamped. */
  ClassStatistics ofClass(int index) {
    return classes.get(Math.max(0, Math.min(index, classes.size() - 1)));
  }

  /** Service time of a typical part of the class. */
  double typicalUs(ClassStatistics statistics) {
    return statistics.serviceTimeUs > 0
        ? statistics.serviceTimeUs
        : statistics.queryClass().latencyObjectiveUs() * INITIAL_SERVICE_TIME_SHARE;
  }

  /** Service time of one part: the client's hint if present, otherwise that of a typical part. */
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
   * Records the latency of an answered part. Under overload all latencies include queueing time, so
   * the estimate may fall immediately but rises only slowly.
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
