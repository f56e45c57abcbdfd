package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Rules;

/**
 * Slow start: protects a server from overload after its start.
 *
 * <p>Each warming server has a token bucket of work that fills at this broker's share of the rate
 * that the rules allow. The bucket has a random phase, so that brokers which are notified or
 * restarted at the same time do not send simultaneously. Work is charged at the send, whatever the
 * outcome. If all replicas of a shard are warming up, parts wait for budget.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class SlowStart {
  /**
   * Fraction of a warming server's budget that is used; the rest is a margin because work is only
   * an estimate.
   */
  private static final double BUDGET_SHARE = 0.6;

  /**
   * Time over which the work of warm servers is measured, as a multiple of the shortest latency
   * objective.
   */
  private static final double MEASUREMENT_OBJECTIVES = 10;

  /** Minimum weight of a warming server. */
  private static final double MIN_WEIGHT = 0.01;

  /**
   * Minimum cost of a part whose class has no measured service time yet, as a multiple of the
   * smallest latency of the class.
   */
  private static final double UNMEASURED_COST_FACTOR = 1.5;

  private final BalancerContext context;
  private final ServiceTimes serviceTimes;

  /**
   * Decaying sum of this broker's work that warm servers have answered, divided by the number of
   * warm servers, in microseconds.
   */
  private final DecayingValue answeredWorkUs = new DecayingValue();

  private long warmServers;

  SlowStart(BalancerContext context, ServiceTimes serviceTimes) {
    this.context = context;
    this.serviceTimes = serviceTimes;
  }

  /** The fraction of its full capacity that a server has now: above 0, and 1 when warm. */
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

  /** Sets the number of servers that are both warm and ready. */
  void setWarmServers(long count) {
    warmServers = count;
  }

  /** Whether the server's budget admits the part; always true for a warm server. */
  boolean admits(Server server, Part part) {
    Rules rules = context.settings().rules();
    if (isWarm(server) || rules.overloadFactor() <= 0) {
      return true;
    }
    double rate = rate(server);
    // The amount by which the bucket refills in half of the overload tolerance.
    double burst = rate * rules.overloadToleranceUs() / 2;
    return server.slowStartBucket.canAfford(cost(part), rate, burst, context.nowUs());
  }

  /** Deducts the cost of a sent part from its server's budget; has no effect for a warm server. */
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
   * Rate of work that this broker may send to a warming server: the product of {@link
   * #BUDGET_SHARE}, the overload factor, the server's weight and the rate of a warm server. The
   * rate of a warm server is the mean rate at which a warm server answers work of this broker; the
   * sum of these mean rates over all brokers cannot exceed the capacity of a warm server. The rate
   * of a warm server is taken to be at least one core divided by the number of brokers.
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
   * Returns the cost by which a part reduces the budget. Before the service time of a class has
   * been measured, an initial estimate is used that may be several times too low, and after a
   * restart all brokers use that estimate at the same time. Before the measurement, a part
   * therefore costs at least {@link #UNMEASURED_COST_FACTOR} times the smallest latency of its
   * class.
   */
  private double cost(Part part) {
    ClassStatistics statistics = part.query.statistics;
    boolean measured = part.hintUs > 0 || statistics.serviceTimeUs > 0;
    return measured
        ? workWithCallUs(part)
        : Math.max(workWithCallUs(part), UNMEASURED_COST_FACTOR * statistics.latencies.minimum());
  }
}
