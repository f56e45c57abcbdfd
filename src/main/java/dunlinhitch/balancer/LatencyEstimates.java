package dunlinhitch.balancer;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts the latency of an attempt: the network latency to the server's zone, the wait for the
 * work queued ahead and the work itself.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class LatencyEstimates {
  /** Minimum wait per unit of work ahead; well below 1 because a server may have many cores. */
  private static final double MIN_WAIT_PER_WORK = 0.2;

  /** Weight of the newest sample in {@link #waitSlope}. */
  private static final double WAIT_WEIGHT = 0.02;

  /**
   * Latencies are capped at this multiple of the prediction before they are added to {@link
   * #waitSlope}.
   */
  private static final double MAX_LATENCY_FACTOR = 20;

  /** Quantile of a zone's excess latencies that is attributed to the network. */
  private static final double NETWORK_QUANTILE = 0.25;

  /** Number of excess latencies in the sliding window of each zone. */
  private static final int NETWORK_WINDOW_SIZE = 16;

  /**
   * Time constant by which a network latency decays, as a multiple of the shortest latency
   * objective.
   */
  private static final double NETWORK_DECAY_OBJECTIVES = 4.0;

  /**
   * A server counts as unresponsive rather than busy if it answers nothing for this multiple of the
   * predicted latency of an attempt.
   */
  private static final double UNRESPONSIVE_FACTOR = 5;

  /**
   * Excess latencies of one zone, and the time at which the newest was added. An excess latency is
   * the latency of an attempt minus its work and its predicted wait.
   */
  private static final class ZoneLatency {
    final SampleWindow excessUs = new SampleWindow(NETWORK_WINDOW_SIZE, 0);
    long updatedUs;
  }

  private final BalancerContext context;
  private final ServiceTimes serviceTimes;
  private final SlowStart slowStart;
  private final OutstandingWork outstandingWork;
  private final Map<Integer, ZoneLatency> zoneLatencies = new HashMap<>();

  /**
   * Slope of the wait over the work queued ahead; it is low if servers process their queues fast.
   */
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

  /** Returns the expected wait per unit of work queued ahead. */
  double waitPerWork() {
    double slope = waitSlope.slope(1, Math.pow(serviceTimes.meanUs(), 2));
    return Math.max(MIN_WAIT_PER_WORK, Math.min(1 / MIN_WAIT_PER_WORK, slope));
  }

  /**
   * Returns the network latency to the server's zone: the amount by which a low quantile of that
   * zone's excess latencies exceeds the same quantile of the local zone. Possible causes are packet
   * loss, a slow network or a fault that the zone's servers share. Samples are pooled by zone
   * because each server gets few parts. The estimate decays, so that the zone occasionally gets a
   * part; the latency of that part shows whether the zone has recovered. The estimate is too high
   * if only the remote zone is overloaded.
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

  /**
   * Returns how long a part would wait at a server. Excludes the failure penalty, which is not a
   * waiting time.
   */
  double waitUs(Server server) {
    return waitPerWork() * outstandingWork.atUs(server) / Math.sqrt(slowStart.weight(server));
  }

  /** Predicted time from the send until the answer. */
  double latencyUs(Server server, Part part) {
    return networkLatencyUs(server)
        + waitUs(server)
        + outstandingWork.withCallUs(server, part) / Math.sqrt(slowStart.weight(server));
  }

  /**
   * Records the latency of an attempt that was answered, or that was cancelled when already late.
   */
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
   * True if the attempt's server has answered nothing for {@link #UNRESPONSIVE_FACTOR} times the
   * predicted latency of the attempt. The time starts when the attempt is sent, or at the server's
   * last answer if that is later. Such a server is hung, dead or far too slow. A server that still
   * answers is only busy: moving late parts away from it would waste the work already done and
   * increase the load of all servers.
   */
  boolean isUnresponsive(Attempt attempt) {
    long lastSignUs = Math.max(attempt.sentUs, attempt.server.lastAnswerUs);
    return context.nowUs() - lastSignUs > UNRESPONSIVE_FACTOR * attempt.prediction.latencyUs();
  }
}
