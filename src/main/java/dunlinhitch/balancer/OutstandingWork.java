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
   * Work outstanding at a server: that of this broker and the reported load of others. With the age
   * of its report a warm server is taken for as busy as the mean of all reports; a warming one for
   * idle, for it began empty and each broker sends it little. This may mislead where other brokers
   * have no slow start.
   */
  double atUs(Server server) {
    double fallback = slowStart.isWarm(server) ? loadReports.meanLoad() : 0;
    double others = loadReports.loadOfOthers(server, fallback);
    return Math.max(0, server.outstandingUs) + others * serviceTimes.meanUs();
  }

  /** Work of a part at a server, with that of the call. */
  double withCallUs(Server server, Part part) {
    return serviceTimes.ofPartUs(part) + callOverheadUs(server);
  }

  /** Parts sent to one server by one event share a call: only the part that opens it pays. */
  double callOverheadUs(Server server) {
    ShardLayout layout = context.settings().layout();
    boolean shared =
        server.callOpenedUs == context.nowUs() && server.callParts % layout.partsPerCall() != 0;
    return shared ? 0 : layout.callOverheadUs();
  }
}
