package dunlinhitch.balancer;

import java.util.List;

/**
 * Measures what servers in slow start were sent by all brokers together, in every window that ends
 * with a send: against N + 2 sqrt(N) + 2, where N is the count of parts that the rule allows by the
 * capacity in the middle of the window.
 */
final class SlowStartLoad {
  /**
   * A part that a server was sent.
   *
   * @param byNotifiedBroker its broker knew of the server's start
   */
  record Arrival(long atUs, double workUs, boolean byNotifiedBroker) {
    double notifiedWorkUs() {
      return byNotifiedBroker ? workUs : 0;
    }
  }

  /** A server as the measurement needs it. */
  interface MeasuredServer {
    /** Parts sent since the starts, in the order of their times. */
    List<Arrival> arrivals();

    boolean hasStarted();

    boolean isReady();

    /** Capacity at a time, as a share of that of a warm server. */
    double capacity(long atUs);
  }

  private final SlowStartSite.Rule rule;
  private final double meanWorkUs;
  private double worst;
  private double worstByNotified;
  private double used;
  private double leastWarm;

  SlowStartLoad(SlowStartSite site) {
    rule = site.rule();
    meanWorkUs = site.workload().meanWorkUs();
  }

  /** The worst window of all started servers, as a share of what the rule allows. */
  double worst() {
    return worst;
  }

  /** The worst of the windows that brokers filled which knew of the start: only they break it. */
  double worstByNotified() {
    return worstByNotified;
  }

  /** What started servers were sent, as a share of what they could do during slow start. */
  double used() {
    return used;
  }

  /** The least that a warm server was sent, as a share of the mean. */
  double leastWarm() {
    return leastWarm;
  }

  void measure(List<? extends MeasuredServer> servers, long slowStartUs) {
    double sentUs = 0;
    double capacityUs = 0;
    double warmSumUs = 0;
    double warmLeastUs = Double.MAX_VALUE;
    int warmServers = 0;
    for (MeasuredServer server : servers) {
      double workUs = server.arrivals().stream().mapToDouble(Arrival::workUs).sum();
      if (!server.hasStarted() && server.isReady()) {
        warmServers++;
        warmSumUs += workUs;
        warmLeastUs = Math.min(warmLeastUs, workUs);
      }
      if (server.hasStarted()) {
        sentUs += workUs;
        capacityUs += slowStartUs * (1 + rule.initialShare()) / 2;
        measureWindows(server);
      }
    }
    used = sentUs / capacityUs;
    leastWarm = warmLeastUs / (warmSumUs / warmServers);
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
      worst = Math.max(worst, share);
      // Windows of which notified brokers sent over two thirds count as theirs.
      if (notifiedUs > windowUs * 2 / 3) {
        worstByNotified = Math.max(worstByNotified, share);
      }
    }
  }
}
