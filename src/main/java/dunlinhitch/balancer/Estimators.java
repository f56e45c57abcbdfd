package dunlinhitch.balancer;

/**
 * The estimates that decisions are made from, wired together. Estimators learn from attempts and
 * reports; none of them decides anything.
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
