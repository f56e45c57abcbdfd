package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.LoadReportField;
import java.util.List;

/**
 * The load of other brokers at each server, derived from the servers' load reports.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class LoadReports {
  /**
   * Weight of the newest report in the moving average of a server. Sustained load counts more than
   * a spike in that average.
   */
  private static final double REPORT_WEIGHT = 0.4;

  /** Weight of the newest report in the mean over all servers. */
  private static final double MEAN_WEIGHT = 0.02;

  /** Cap of a single reported value, in parts, because a report may be wrong. */
  private static final double MAX_VALUE = 200;

  /**
   * Time constant by which the mean over all servers decays, as a multiple of the shortest latency
   * objective.
   */
  private static final double MEAN_OBJECTIVES = 4.0;

  /**
   * Fraction of this broker's parts in flight at a server that are assumed to be still in the
   * server's backlog.
   */
  private static final double OWN_BACKLOG_SHARE = 0.5;

  private final BalancerContext context;
  private final DecayingValue meanLoad = new DecayingValue();

  LoadReports(BalancerContext context) {
    this.context = context;
  }

  /** Mean load of other brokers over all reports, in parts. */
  double meanLoad() {
    return meanLoad.at(context.nowUs(), MEAN_OBJECTIVES * context.shortestObjectiveUs());
  }

  /** Returns the time at which the newest report of any server arrived. */
  long lastReportUs() {
    return meanLoad.updatedUs();
  }

  /**
   * Returns the load of other brokers at a server, in parts. The value converges to {@code
   * fallback} as the server's report ages.
   */
  double loadOfOthers(Server server, double fallback) {
    return fallback
        + (server.reportedLoad - fallback)
            * context.decaySince(server.reportedUs, (double) context.shortestObjectiveUs());
  }

  /**
   * Processes a load report. This broker's own parts in flight are subtracted from the reported
   * load. An empty report is ignored.
   */
  void onReport(Server server, float[] report) {
    List<LoadReportField> fields = context.settings().reportFields();
    boolean hasOutstanding = fields.contains(LoadReportField.OUTSTANDING);
    double load = 0;
    boolean usable = false;
    for (int i = 0; i < Math.min(report.length, fields.size()); i++) {
      LoadReportField field = fields.get(i);
      double value = Double.isFinite(report[i]) ? Math.max(0, Math.min(MAX_VALUE, report[i])) : 0;
      double ownLoad =
          field == LoadReportField.OUTSTANDING
              ? server.inFlight.size()
              : server.inFlight.size() * OWN_BACKLOG_SHARE;
      if (field == LoadReportField.OUTSTANDING
          || (field == LoadReportField.BACKLOG && !hasOutstanding)) {
        load += Math.max(0, value - ownLoad);
        usable = true;
      } else if (field == LoadReportField.UTILIZATION && !hasOutstanding) {
        load += Math.min(1, value);
        usable = true;
      }
    }
    if (usable) {
      update(server, load);
    }
  }

  private void update(Server server, double load) {
    long nowUs = context.nowUs();
    long objectiveUs = context.shortestObjectiveUs();
    meanLoad.blend(load, MEAN_WEIGHT, nowUs, MEAN_OBJECTIVES * objectiveUs);
    double previousWeight =
        (1 - REPORT_WEIGHT) * context.decaySince(server.reportedUs, (double) objectiveUs);
    server.reportedLoad += (1 - previousWeight) * (load - server.reportedLoad);
    server.reportedUs = nowUs;
  }
}
