package dunlinhitch.balancer.settings;

/** Values that a load report may contain, in the order of {@link Settings#reportFields}. */
public enum LoadReportField {
  /** Parts that the server has accepted and not answered. */
  OUTSTANDING,
  /** Parts that wait in the server's queue. */
  BACKLOG,
  /** Fraction of the server's capacity that is in use, 0 to 1. */
  UTILIZATION,
  /** Recent latency in milliseconds; not used. */
  RECENT_MS,
  /** Answers per second; not used. */
  THROUGHPUT,
  /** Errors; not used. */
  ERRORS,
  /** Any other value; not used. */
  OTHER
}
