package dunlinhitch.balancer;

/**
 * Failure penalties: work that a server is assumed to have outstanding after failures, in addition
 * to its actual outstanding work. With a penalty, servers that fail fast, hang, are dead or are
 * full attract fewer parts.
 *
 * <p>A penalty grows with each consecutive failure. It decays with time and with answers, so that
 * the server occasionally gets a part. An answer to that part shows that the server has recovered.
 * If the query causes the failures, all replicas are penalized equally and their order does not
 * change.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class FailurePenalties {
  /**
   * Penalty of the first failure, as a multiple of the mean service time; doubled with each
   * consecutive failure.
   */
  private static final double INITIAL_PENALTY = 4;

  /** Largest penalty, as a multiple of the mean service time. */
  private static final double MAX_PENALTY = 64;

  /** Consecutive failures after which the penalty is no longer doubled. */
  private static final int MAX_DOUBLINGS = 8;

  /** Fraction of the penalty that remains after an answer. */
  private static final double REMAINDER_AFTER_ANSWER = 0.7;

  /** Longest time constant of the decay, as a multiple of the shortest latency objective. */
  private static final double MAX_DECAY_OBJECTIVES = 10;

  /** Shortest time constant of the decay, as a multiple of the shortest latency objective. */
  private static final double MIN_DECAY_OBJECTIVES = 2;

  /**
   * An answer is late if its latency exceeds this multiple of the predicted latency. The excess is
   * the minimum penalty of the server after the answer.
   */
  private static final double LATE_FACTOR = 2;

  private final BalancerContext context;
  private final ServiceTimes serviceTimes;

  /** Decaying count of the parts sent. */
  private final DecayingValue recentSends = new DecayingValue();

  FailurePenalties(BalancerContext context, ServiceTimes serviceTimes) {
    this.context = context;
    this.serviceTimes = serviceTimes;
  }

  /**
   * Returns the current penalty of a server. The penalty decays more slowly if this broker sends
   * few parts per server, so that it still applies when the server would be selected again.
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

  /**
   * Lowers the penalty after an answer. After a late answer, the penalty is at least the answer's
   * excess latency.
   */
  void onAnswer(Attempt attempt) {
    Server server = attempt.server;
    server.consecutiveFailures /= 2;
    // Health checks, if allowed, detect slow servers, so late answers need no penalty.
    double latenessUs =
        context.settings().limits().mayHealthCheck()
            ? 0
            : context.nowUs() - attempt.sentUs - LATE_FACTOR * attempt.prediction.latencyUs();
    double limitUs = MAX_PENALTY * serviceTimes.meanUs();
    set(
        server,
        Math.max(REMAINDER_AFTER_ANSWER * penaltyUs(server), Math.min(latenessUs, limitUs)));
  }
}
