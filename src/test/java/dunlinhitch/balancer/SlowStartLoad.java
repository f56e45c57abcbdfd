package dunlinhitch.balancer;

import java.util.List;

/**
 * Measures the work that all brokers together sent to servers in slow start, in every window that
 * ends with a send. The limit is N + 2 sqrt(N) + 2 parts, where N is the number of parts that the
 * rule allows for the capacity in the middle of the window.
 */
final class SlowStartLoad {
  /**
   * A part that was sent to a server.
   *
   * @param byNotifiedBroker whether its broker had been notified of the server's start
   */
  record Arrival(long atUs, double workUs, boolean byNotifiedBroker) {
    double notifiedWorkUs() {
      return byNotifiedBroker ? workUs : 0;
    }
  }

  /** The properties of a server that are needed for the measurement. */
  interface MeasuredServer {
    /** Parts sent since the starts, in the order of their times. */
    List<Arrival> arrivals();

    boolean hasStarted();

    boolean isReady();

    /** Capacity at a point in time, as a fraction of that of a warm server. */
    double capacity(long atUs);
  }

  private final SlowStartSite.Rule rule;
  private final double meanWorkUs;
  private double worstWindow;
  private double worstWindowByNotified;
  private double utilization;
  private double minWarmLoad;

  SlowStartLoad(SlowStartSite site) {
    rule = site.rule();
    meanWorkUs = site.workload().meanWorkUs();
  }

  /** Returns the work in the worst window of all started servers, as a fraction of the limit. */
  double worstWindow() {
    return worstWindow;
  }

  /**
   * Like {@link #worstWindow}, restricted to windows whose work was sent mainly by brokers that had
   * been notified of the start. Only such brokers can comply with the rule.
   */
  double worstWindowByNotified() {
    return worstWindowByNotified;
  }

  /** The work sent to started servers, as a fraction of their capacity during slow start. */
  double utilization() {
    return utilization;
  }

  /**
   * Returns the work sent to the least loaded warm server, as a fraction of the mean over all warm
   * servers.
   */
  double minWarmLoad() {
    return minWarmLoad;
  }

  void measure(List<? extends MeasuredServer> servers, long slowStartUs) {
    double sentUs = 0;
    double capacityUs = 0;
    double warmSumUs = 0;
    double minWarmUs = Double.MAX_VALUE;
    int warmServers = 0;
    for (MeasuredServer server : servers) {
      double workUs = server.arrivals().stream().mapToDouble(Arrival::workUs).sum();
      if (!server.hasStarted() && server.isReady()) {
        warmServers++;
        warmSumUs += workUs;
        minWarmUs = Math.min(minWarmUs, workUs);
      }
      if (server.hasStarted()) {
        sentUs += workUs;
        capacityUs += slowStartUs * (1 + rule.initialShare()) / 2;
        measureWindows(server);
      }
    }
    utilization = sentUs / capacityUs;
    minWarmLoad = minWarmUs / (warmSumUs / warmServers);
  }

  private void measureWindows(MeasuredServer server) {
    List<Arrival> arrivals = server.arrivals();
    double windowUs = 0;
    double notifiedUs = 0;
    int first = 0;
    for (Arrival last : arrivals) {
      windowUs += last.workUs();
      notifiedUs += last.notifiedWorkUs();
      while (arrivals.get(first).atUs() <= last.atUs() - rule.fallUs()) {
        notifiedUs -= arrivals.get(first).notifiedWorkUs();
        windowUs -= arrivals.get(first).workUs();
        first++;
      }
      double allowed =
          rule.overloadFactor()
              * server.capacity(last.atUs() - rule.fallUs() / 2)
              * rule.fallUs()
              / meanWorkUs;
      double share = windowUs / meanWorkUs / (allowed + 2 * Math.sqrt(allowed) + 2);
      worstWindow = Math.max(worstWindow, share);
      // The window counts towards worstWindowByNotified if notified brokers sent over two thirds of
      // its work.
      if (notifiedUs > windowUs * 2 / 3) {
        worstWindowByNotified = Math.max(worstWindowByNotified, share);
      }
    }
  }
}
