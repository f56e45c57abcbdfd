package dunlinhitch.balancer;

/**
 * Failure penalties: work that a server seems to have outstanding after failures, so that fast
 * errors, hangs, dead and full servers do not draw parts.
 *
 * <p>A penalty grows with each failure in a row and decays with time and with answers, so single
 * parts discover a recovery. Where failures come from the query, all replicas are penalized alike
 * and their order stays.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class FailurePenalties {
  /** Penalty of the first failure, in mean service times; doubled with each in a row. */
  private static final double INITIAL_PENALTY = 4;

  /** Largest penalty, in mean service times. */
  private static final double MAX_PENALTY = 64;

  /** Failures in a row after which the penalty is not doubled any further. */
  private static final int MAX_DOUBLINGS = 8;

  /** Share of the penalty that an answer leaves. */
  private static final double REMAINDER_AFTER_ANSWER = 0.7;

  /** Longest time constant of the decay, in shortest latency objectives. */
  private static final double MAX_DECAY_OBJECTIVES = 10;

  /** Shortest time constant of the decay, in shortest latency objectives. */
  private static final double MIN_DECAY_OBJECTIVES = 2;

  /** An answer that took more than so many times the prediction leaves the rest as penalty. */
  private static final double LATE_FACTOR = 2;

  private final BalancerContext context;
  private final ServiceTimes serviceTimes;

  /** Parts sent of late. */
  private final DecayingValue recentSends = new DecayingValue();

  FailurePenalties(BalancerContext context, ServiceTimes serviceTimes) {
    this.context = context;
    this.serviceTimes = serviceTimes;
  }

  /**
   * The penalty of a server now. It outlives the time until the server's next turn, for one of many
   * brokers sends each server little.
   */
  double penaltyUs(Server server) {
    long objectiveUs = context.shortestObjectiveUs();
    double sends = recentSends.at(context.nowUs(), MAX_DECAY_OBJECTIVES * objectiveUs);
    double turn = MAX_DECAY_OBJECTIVES * context.servers().size() / Math.max(1, sends);
    double decayObjectives = Math.max(MIN_DECAY_OBJECTIVES, Math.min(MAX_DECAY_OBJECTIVES, turn));
    return server.penaltyUs
        * context.decaySince(server.penaltyUpdatedUs, decayObjectives * objectiveUs);
  }

  /** Sets the penalty as of now. */
  void set(Server server, double penaltyUs) {
    server.penaltyUs = penaltyUs;
    server.penaltyUpdatedUs = context.nowUs();
  }

  void onSend() {
    recentSends.add(1, context.nowUs(), MAX_DECAY_OBJECTIVES * context.shortestObjectiveUs());
  }

  void onFailure(Server server) {
    int doublings = Math.min(server.consecutiveFailures, MAX_DOUBLINGS);
    double units = Math.min(MAX_PENALTY, INITIAL_PENALTY * (1 << doublings));
    double meanUs = serviceTimes.meanUs();
    set(server, Math.min(MAX_PENALTY * meanUs, Math.max(penaltyUs(server), units * meanUs)));
    server.consecutiveFailures++;
  }

  /** Lowers the penalty after an answer; a late answer leaves its lateness as penalty. */
  void onAnswer(Attempt attempt) {
    Server server = attempt.server;
    server.consecutiveFailures /= 2;
    double latenessUs =
        context.settings().limits().mayHealthCheck()
            ? 0 // health checks then find slow servers
            : context.nowUs() - attempt.sentUs - LATE_FACTOR * attempt.prediction.latencyUs();
    double limitUs = MAX_PENALTY * serviceTimes.meanUs();
    set(
        server,
        Math.max(REMAINDER_AFTER_ANSWER * penaltyUs(server), Math.min(latenessUs, limitUs)));
  }
}
