package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.ShardLayout;

/**
 * The ledger of predicted work outstanding at each server; Graham's least-loaded rule reads it.
 * Work is charged when an attempt is sent and released when it ends.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class OutstandingWork {
  private final BalancerContext context;
  private final ServiceTimes serviceTimes;
  private final SlowStart slowStart;
  private final LoadReports loadReports;

  OutstandingWork(
      BalancerContext context,
      ServiceTimes serviceTimes,
      SlowStart slowStart,
      LoadReports loadReports) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    this.slowStart = slowStart;
    this.loadReports = loadReports;
  }

  /**
   * Returns the work outstanding at a server: the work sent by this broker and the reported load of
   * other brokers. As a server's report ages, the reported load converges to a default: the mean of
   * all reports for a warm server, and 0 for a warming server, because a warming server started
   * idle and gets little work from each broker. The value for a warming server is too low if other
   * brokers do not apply slow start.
   */
  double atUs(Server server) {
    double fallback = slowStart.isWarm(server) ? loadReports.meanLoad() : 0;
    double others = loadReports.loadOfOthers(server, fallback);
    return Math.max(0, server.outstandingUs) + others * serviceTimes.meanUs();
  }

  /** Work of a part at a server, including the call overhead. */
  double withCallUs(Server server, Part part) {
    return serviceTimes.ofPartUs(part) + callOverheadUs(server);
  }

  /**
   * Returns the call overhead charged to the next part. Parts sent to one server within one event
   * share a call; its overhead is charged to the first of them.
   */
  double callOverheadUs(Server server) {
    ShardLayout layout = context.settings().layout();
    boolean shared =
        server.callOpenedUs == context.nowUs() && server.callParts % layout.partsPerCall() != 0;
    return shared ? 0 : layout.callOverheadUs();
  }
}
