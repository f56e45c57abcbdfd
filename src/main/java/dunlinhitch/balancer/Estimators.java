package dunlinhitch.balancer;

/**
 * The estimators on which decisions are based, wired together. Estimators are updated from attempts
 * and reports; none of them makes decisions.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class Estimators {
  final ServiceTimes serviceTimes;
  final SlowStart slowStart;
  final LoadReports loadReports;
  final FailurePenalties penalties;
  final OutstandingWork outstandingWork;
  final LatencyEstimates latencies;
  final IdleConnections idleConnections;
  final QueryDeadlines deadlines;
  final SchedulingLag lag;

  Estimators(BalancerContext context) {
    serviceTimes = new ServiceTimes(context);
    slowStart = new SlowStart(context, serviceTimes);
    loadReports = new LoadReports(context);
    penalties = new FailurePenalties(context, serviceTimes);
    outstandingWork = new OutstandingWork(context, serviceTimes, slowStart, loadReports);
    latencies = new LatencyEstimates(context, serviceTimes, slowStart, outstandingWork);
    idleConnections = new IdleConnections(context);
    deadlines = new QueryDeadlines(context, serviceTimes);
    lag = new SchedulingLag(context);
  }
}
