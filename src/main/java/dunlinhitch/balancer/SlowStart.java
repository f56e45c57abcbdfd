package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Rules;

/**
 * Slow start: protects a server that has just started from overload.
 *
 * <p>Each warming server has a token bucket of work that fills at this broker's share of what the
 * rule allows, with a phase of its own: many brokers that are notified, or restarted, at one moment
 * send one after the other, not all at once. Work is paid for at the send, whatever becomes of it.
 * Where all replicas of a shard are warming up, parts wait.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class SlowStart {
  /** Share of a warming server's budget that is used, for work is only estimated. */
  private static final double BUDGET_SHARE = 0.6;

  /** Shortest latency objectives over which the work of warm servers is measured. */
  private static final double MEASUREMENT_OBJECTIVES = 10;

  /** Least weight of a warming server. */
  private static final double MIN_WEIGHT = 0.01;

  /** Cost of a part of a class not measured yet, over the least latency of the class. */
  private static final double UNMEASURED_COST_FACTOR = 1.5;

  private final BalancerContext context;
  private final ServiceTimes serviceTimes;

  /** Work that one warm server has answered of late for this broker, in microseconds. */
  private final DecayingValue answeredWorkUs = new DecayingValue();

  private long warmServers;

  SlowStart(BalancerContext context, ServiceTimes serviceTimes) {
    this.context = context;
    this.serviceTimes = serviceTimes;
  }

  /** The share of its full capacity that a server is sure to have now: above 0, 1 when warm. */
  double weight(Server server) {
    Rules rules = context.settings().rules();
    long durationUs = rules.slowStartDurationUs();
    long ageUs = context.nowUs() - server.startedUs;
    if (server.startedUs <= 0 || ageUs >= durationUs || durationUs <= 0) {
      return 1;
    }
    double initial = rules.initialCapacityShare();
    return Math.max(MIN_WEIGHT, initial + (1 - initial) * Math.max(0, ageUs) / durationUs);
  }

  boolean isWarm(Server server) {
    return weight(server) >= 1;
  }

  /** Begins the slow start of a server with a random phase. */
  void begin(Server server) {
    server.slowStartBucket.reset(1 - context.random().nextDouble(), context.nowUs());
  }

  /** Sets how many servers are warm and may be sent to. */
  void setWarmServers(long count) {
    warmServers = count;
  }

  /** Whether the server's budget has room for the part; always so for a warm server. */
  boolean admits(Server server, Part part) {
    Rules rules = context.settings().rules();
    if (isWarm(server) || rules.overloadFactor() <= 0) {
      return true;
    }
    double rate = rate(server);
    double burst =
        rate * rules.overloadToleranceUs() / 2; // as much again flows in within that time
    return server.slowStartBucket.canAfford(cost(part), rate, burst, context.nowUs());
  }

  /** Charges a warming server's budget with a part that is sent. */
  void onSend(Server server, Part part) {
    if (!isWarm(server)) {
      server.slowStartBucket.spend(cost(part));
    }
  }

  /** Counts the work of an answered attempt at a warm server. */
  void onAnswer(Attempt attempt) {
    if (isWarm(attempt.server)) {
      answeredWorkUs.add(
          workWithCallUs(attempt.part) / Math.max(1, warmServers),
          context.nowUs(),
          MEASUREMENT_OBJECTIVES * context.shortestObjectiveUs());
    }
  }

  /**
   * Work per time that this broker may send a warming server. Of a warm server's capacity that is
   * one core's work at least, shared by all brokers; or what warm ones are measured to do for this
   * broker, for all brokers together measure no more than the servers can do.
   */
  private double rate(Server server) {
    double spanUs = MEASUREMENT_OBJECTIVES * context.shortestObjectiveUs();
    double warmRate = answeredWorkUs.at(context.nowUs(), spanUs) / spanUs;
    return BUDGET_SHARE
        * context.settings().rules().overloadFactor()
        * weight(server)
        * Math.max(1.0 / context.settings().brokers(), warmRate);
  }

  private double workWithCallUs(Part part) {
    return serviceTimes.ofPartUs(part) + context.settings().layout().callOverheadUs();
  }

  /**
   * What the budget is charged with. Before a class is measured its service time is a guess and may
   * be several times as much; after a restart all brokers guess so at once. Until then a part costs
   * as much as the least latency of its class, if that is more.
   */
  private double cost(Part part) {
    ClassStatistics statistics = part.query.statistics;
    boolean measured = part.hintUs > 0 || statistics.serviceTimeUs > 0;
    return measured
        ? workWithCallUs(part)
        : Math.max(workWithCallUs(part), UNMEASURED_COST_FACTOR * statistics.latencies.minimum());
  }
}
