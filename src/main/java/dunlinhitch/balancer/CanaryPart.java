package dunlinhitch.balancer;

/**
 * The canary part: one part of a wide query goes ahead of the fan-out where that takes little of
 * the query's time.
 *
 * <p>A query that brings down the servers it runs on (by a bug or a corrupt record) then costs one
 * server, not one for each part. The other parts follow once any part is answered or a short delay
 * is over. This may hurt where time is scarce.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class CanaryPart {
  /** The delay as a share of the part's service time. */
  private static final double DELAY_SERVICE_TIME_SHARE = 0.7;

  /** Longest delay as a share of the query's time. */
  private static final double MAX_DELAY_SHARE = 0.1;

  /** Largest overhead of a call as a share of the part's service time. */
  private static final double MAX_CALL_SHARE = 0.1;

  /** Share of the servers that a query must be able to reach to count as wide. */
  private static final double MIN_SERVER_SHARE = 0.18;

  /** Least parts of a wide query. */
  private static final int MIN_PARTS = 8;

  /** Least parts for a canary soon after a reset, and for a query asked again. */
  private static final int MIN_PARTS_WHEN_ALERT = 2;

  /** Shortest latency objectives for which a reset counts as recent. */
  private static final double RESET_OBJECTIVES = 10;

  /** Servers lost after which a query is suspect. */
  private static final int SUSPECT_RESETS = 2;

  /** The same for a query that its client asks again. */
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

  /** Whether one part of the query should go ahead of the others. */
  boolean isWanted(Query query) {
    double typicalUs = estimators.serviceTimes.typicalUs(query.statistics);
    double leftUs = estimators.deadlines.planUs(query) - context.nowUs();
    double delayShare = DELAY_SERVICE_TIME_SHARE * typicalUs / leftUs;
    // The canary part takes a call of its own.
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
   * Sends the part ahead and defers the others. At the least busy server it begins at once: what it
   * brings down is down within the delay.
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

  /** Notes that a server reset an attempt. */
  void onReset(Attempt attempt) {
    attempt.part.query.resetsUs.put(attempt.server, context.nowUs());
    lastResetUs = context.nowUs();
  }

  /**
   * True where attempts were reset by servers that were sound and no part was answered: the query
   * is at fault, not the servers. A server that has answered since was not brought down; only a
   * connection was lost.
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
