package dunlinhitch.balancer.settings;

/** Values a load report may hold, in the order of {@link Settings#reportFields}. */
public enum LoadReportField {
  OUTSTANDING,
  BACKLOG,
  UTILIZATION,
  RECENT_MS,
  THROUGHPUT,
  ERRORS,
  OTHER
}
