package dunlinhitch.balancer;

/**
 * Sends one part of a wide query, the canary part, ahead of the other parts if the delay is a small
 * fraction of the query's time.
 *
 * <p>A query that crashes its servers (because of a bug or a corrupt record) then affects one
 * server rather than one for each part. The other parts follow once any part is answered or a short
 * delay has passed. The drawback is added latency for queries with little time left.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class CanaryPart {
  /** Delay of the other parts, as a fraction of the canary part's service time. */
  private static final double DELAY_SERVICE_TIME_SHARE = 0.7;

  /** Longest delay of the other parts, as a fraction of the query's remaining time. */
  private static final double MAX_DELAY_SHARE = 0.1;

  /**
   * A canary part needs a call of its own. It is sent only if the overhead of a call is at most
   * this fraction of the part's service time.
   */
  private static final double MAX_CALL_SHARE = 0.1;

  /** A query is wide if its number of parts is at least this fraction of the number of servers. */
  private static final double MIN_SERVER_SHARE = 0.18;

  /** Minimum number of parts of a wide query. */
  private static final int MIN_PARTS = 8;

  /**
   * Minimum number of parts of a query that gets a canary part although it is not wide. Applies
   * shortly after a reset of any attempt, and to queries that the client retries.
   */
  private static final int MIN_PARTS_WHEN_ALERT = 2;

  /** Time for which a reset counts as recent, as a multiple of the shortest latency objective. */
  private static final double RESET_OBJECTIVES = 10;

  /** A query is suspect only if at least this number of servers have reset an attempt of it. */
  private static final int SUSPECT_RESETS = 2;

  /** Replaces {@link #SUSPECT_RESETS} for a query that its client retries. */
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
   * Sends the part and defers the others. The least busy server starts to execute the part
   * immediately, so that a crash occurs before the other parts are sent.
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
   * True if the query probably crashes servers. Three conditions must hold: no part was answered,
   * enough servers have reset attempts of the query, and the number of these servers is at least
   * half the number of the query's attempts. A server that has answered any attempt since the reset
   * is not counted, because it has lost only a connection.
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
