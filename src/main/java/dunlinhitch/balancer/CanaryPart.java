package dunlinhitch.balancer;

/**
 * The canary part: one part of a wide query is sent ahead of the fan-out if that takes little of
 * the query's time.
 *
 * <p>A query that crashes its servers (because of a bug or a corrupt record) then affects one
 * server rather than one for each part. The other parts follow once any part is answered or a short
 * delay has passed. The drawback is added latency for queries with little time.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class CanaryPart {
  /** The delay as a fraction of the part's service time. */
  private static final double DELAY_SERVICE_TIME_SHARE = 0.7;

  /** Longest delay as a fraction of the query's remaining time. */
  private static final double MAX_DELAY_SHARE = 0.1;

  /** Largest overhead of a call as a fraction of the part's service time. */
  private static final double MAX_CALL_SHARE = 0.1;

  /** A query is wide if its number of parts is at least this fraction of the number of servers. */
  private static final double MIN_SERVER_SHARE = 0.18;

  /** Minimum number of parts of a wide query. */
  private static final int MIN_PARTS = 8;

  /**
   * Minimum number of parts for a canary shortly after a reset, and for a query that the client
   * retries.
   */
  private static final int MIN_PARTS_WHEN_ALERT = 2;

  /** Time for which a reset counts as recent, in shortest latency objectives. */
  private static final double RESET_OBJECTIVES = 10;

  /** Number of servers that must have reset the connection for a query to be suspect. */
  private static final int SUSPECT_RESETS = 2;

  /** The same for a query that its client retries. */
  private static final int SUSPECT_RESETS_WHEN_RETRIED = 1;

  private final BalancerContext context;
  private final Estimators estimators;
  private final AttemptSender attempts;
  private long lastResetUs = Long.MIN_VALUE / 2;

  CanaryPart(BalancerContext context, Estimators estimators, AttemptSender attempts) {
    this.context = context;
    this.estimators = estimators;
    this.attempts = attempts;
  }

  /** Whether one part of the query should be sent ahead of the others. */
  boolean isWorthwhile(Query query) {
    double typicalUs = estimators.serviceTimes.typicalUs(query.statistics);
    double leftUs = estimators.deadlines.planUs(query) - context.nowUs();
    double delayShare = DELAY_SERVICE_TIME_SHARE * typicalUs / leftUs;
    // The canary part needs a separate call.
    boolean callIsExpensive =
        context.settings().layout().callOverheadUs() > MAX_CALL_SHARE * typicalUs;
    return !query.canarySent
        && query.expectedParts >= minParts(query)
        && delayShare < MAX_DELAY_SHARE
        && !callIsExpensive;
  }

  private double minParts(Query query) {
    double recentUs = RESET_OBJECTIVES * context.shortestObjectiveUs();
    if (query.retriedByClient || context.nowUs() - lastResetUs < recentUs) {
      return MIN_PARTS_WHEN_ALERT;
    }
    return Math.max(MIN_PARTS, MIN_SERVER_SHARE * context.servers().size());
  }

  /**
   * Sends the part ahead and defers the others. The least busy server starts on it immediately, so
   * a crash occurs within the delay.
   */
  void send(Query query, Part part) {
    query.canarySent = true;
    attempts.request(part);
    double leftUs = estimators.deadlines.planUs(query) - context.nowUs();
    double delayUs =
        Math.min(
            MAX_DELAY_SHARE * leftUs,
            DELAY_SERVICE_TIME_SHARE * estimators.serviceTimes.ofPartUs(part));
    query.deferredUntilUs = context.nowUs() + (long) delayUs;
    BalancerTimers.scheduleQuery(context, query, query.deferredUntilUs);
  }

  /** Records that a server reset an attempt. */
  void onReset(Attempt attempt) {
    attempt.part.query.resetsUs.put(attempt.server, context.nowUs());
    lastResetUs = context.nowUs();
  }

  /**
   * True if enough servers have reset attempts of the query, make up at least half of its attempts,
   * and no part was answered: the query probably crashes servers. A server that has answered since
   * the reset does not count, because only a connection was lost.
   */
  boolean isSuspect(Query query) {
    long serversDown =
        query.resetsUs.entrySet().stream()
            .filter(reset -> reset.getKey().lastAnswerUs < reset.getValue())
            .count();
    int limit = query.retriedByClient ? SUSPECT_RESETS_WHEN_RETRIED : SUSPECT_RESETS;
    return !query.anyPartAnswered
        && serversDown >= limit
        && 2 * serversDown >= query.parts.stream().mapToInt(part -> part.attemptCount).sum();
  }
}
