package dunlinhitch.balancer;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts the latency of an attempt: the network latency to the server's zone, the wait for the
 * work ahead and the work itself.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class LatencyEstimates {
  /** Least wait for each unit of work ahead: a server may have many cores. */
  private static final double MIN_WAIT_PER_WORK = 0.2;

  /** Weight of the newest pair of wait and work ahead. */
  private static final double WAIT_WEIGHT = 0.02;

  /** A latency of more than so many times the prediction says no more than "slow". */
  private static final double MAX_LATENCY_FACTOR = 20;

  /** Quantile of a zone's excess latencies that is taken for the network's. */
  private static final double NETWORK_QUANTILE = 0.25;

  /** Excess latencies in the sliding window of each zone. */
  private static final int NETWORK_WINDOW_SIZE = 16;

  /** Shortest latency objectives after which a network latency decays e-fold. */
  private static final double NETWORK_DECAY_OBJECTIVES = 4.0;

  /** An attempt without answer for so many times its prediction is no sign of load. */
  private static final double UNRESPONSIVE_FACTOR = 5;

  /** Excess latencies of one zone and when the newest was added. */
  private static final class ZoneLatency {
    final SampleWindow excessUs = new SampleWindow(NETWORK_WINDOW_SIZE, 0);
    long updatedUs;
  }

  private final BalancerContext context;
  private final ServiceTimes serviceTimes;
  private final SlowStart slowStart;
  private final OutstandingWork outstandingWork;
  private final Map<Integer, ZoneLatency> zoneLatencies = new HashMap<>();

  /** Wait over work ahead: how fast the servers work their queues off. */
  private final SlopeEstimate waitSlope = new SlopeEstimate();

  LatencyEstimates(
      BalancerContext context,
      ServiceTimes serviceTimes,
      SlowStart slowStart,
      OutstandingWork outstandingWork) {
    this.context = context;
    this.serviceTimes = serviceTimes;
    this.slowStart = slowStart;
    this.outstandingWork = outstandingWork;
  }

  /** Wait for each unit of work ahead. */
  double waitPerWork() {
    double slope = waitSlope.slope(1, Math.pow(serviceTimes.meanUs(), 2));
    return Math.max(MIN_WAIT_PER_WORK, Math.min(1 / MIN_WAIT_PER_WORK, slope));
  }

  /**
   * How much longer than predicted even the quicker parts take to a zone, beyond those of the own
   * zone: the network loses packets or is slow, or the zone's servers share a fault. The parts of a
   * zone are pooled, for each server gets few; the estimate decays, so single parts discover a
   * recovery. It misleads where the far zone alone is overloaded.
   */
  double networkLatencyUs(Server server) {
    int ownZone = context.settings().zone();
    ZoneLatency remote = zoneLatencies.get(server.zone);
    ZoneLatency local = zoneLatencies.get(ownZone);
    if (remote == null || local == null || server.zone == ownZone) {
      return 0;
    }
    double localUs = Math.max(0, local.excessUs.quantile(NETWORK_QUANTILE));
    double excessUs = Math.max(0, remote.excessUs.quantile(NETWORK_QUANTILE) - localUs);
    return excessUs
        * context.decaySince(
            remote.updatedUs, NETWORK_DECAY_OBJECTIVES * context.shortestObjectiveUs());
  }

  /** How long a part would wait at a server; the failure penalty is no waiting time. */
  double waitUs(Server server) {
    return waitPerWork() * outstandingWork.atUs(server) / Math.sqrt(slowStart.weight(server));
  }

  /** Time from the send until the answer. */
  double latencyUs(Server server, Part part) {
    return networkLatencyUs(server)
        + waitUs(server)
        + outstandingWork.withCallUs(server, part) / Math.sqrt(slowStart.weight(server));
  }

  /** Learns from an attempt that ended, or that was given up although it was late already. */
  void onLatency(Attempt attempt) {
    Attempt.Prediction prediction = attempt.prediction;
    long latencyUs = context.nowUs() - attempt.sentUs;
    addZoneSample(
        attempt.server, latencyUs - prediction.workUs() - waitPerWork() * prediction.queuedUs());
    if (slowStart.isWarm(attempt.server) && networkLatencyUs(attempt.server) <= 0) {
      double limitedUs = Math.min(MAX_LATENCY_FACTOR * prediction.latencyUs(), (double) latencyUs);
      waitSlope.add(prediction.queuedUs(), limitedUs - prediction.workUs(), WAIT_WEIGHT);
    }
  }

  private void addZoneSample(Server server, double excessUs) {
    ZoneLatency latency = zoneLatencies.computeIfAbsent(server.zone, zone -> new ZoneLatency());
    latency.excessUs.add(excessUs);
    latency.updatedUs = context.nowUs();
  }

  /**
   * True where an attempt is overdue at a server that has answered nothing since: hung, dead or far
   * too slow, not just busy. Moving late parts off busy servers would waste their work and make all
   * servers later still.
   */
  boolean isUnresponsive(Attempt attempt) {
    long lastSignUs = Math.max(attempt.sentUs, attempt.server.lastAnswerUs);
    return context.nowUs() - lastSignUs > UNRESPONSIVE_FACTOR * attempt.prediction.latencyUs();
  }
}
