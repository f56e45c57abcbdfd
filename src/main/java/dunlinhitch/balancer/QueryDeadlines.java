package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.QueryArrived;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;

/**
 * The points in time that a query is planned for, in microseconds on the balancer's clock.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class QueryDeadlines {
  /** A client timeout shorter than this share of the longest has been cut by the client. */
  private static final double CUT_TIMEOUT_SHARE = 0.97;

  /** Quantile of part latencies reserved for a second step. */
  private static final double SECOND_STEP_QUANTILE = 0.9;

  /** Most that is reserved for a second step, as a share of the latency objective. */
  private static final double MAX_SECOND_STEP_SHARE = 0.3;

  /** Quantile of part latencies that sets the timeout where nothing can be cancelled. */
  private static final double TIMEOUT_QUANTILE = 0.95;

  /** The timeout over that quantile. */
  private static final double TIMEOUT_FACTOR = 2;

  /** Service times that must be left for a retry of a rejected query to be in time. */
  private static final double RETRY_SERVICE_TIMES = 2;

  /** A client is asked to wait for this part of the time that a retry can still spare. */
  private static final long RETRY_AFTER_FRACTION = 4;

  private final BalancerContext context;
  private final ServiceTimes serviceTimes;

  QueryDeadlines(BalancerContext context, ServiceTimes serviceTimes) {
    this.context = context;
    this.serviceTimes = serviceTimes;
  }

  /** When the latency objective of a query that arrives now is missed. */
  long objectiveUs(QueryArrived event, ClassStatistics statistics, long lagUs) {
    QueryClass queryClass = statistics.queryClass();
    double workUs =
        event.hintUs() > 0 ? event.hintUs() : serviceTimes.typicalUs(statistics) * event.parts();
    long stretchUs = (long) (queryClass.latencyObjectiveStretch() * workUs);
    long objectiveUs =
        Math.min(queryClass.deadlineUs(), queryClass.latencyObjectiveUs() + stretchUs);
    return context.nowUs() + objectiveUs - spentUs(event, statistics) - lagUs;
  }

  /**
   * What a client has waited over earlier requests, where retries are marked: a timeout shorter
   * than others of the class is cut by the client's own deadline. What was given up at its
   * objective would come again, too late to be of value, in the place of what is not late.
   * Impatient clients suffer from this.
   */
  private long spentUs(QueryArrived event, ClassStatistics statistics) {
    long timeoutUs = event.deadlineUs() - context.nowUs();
    statistics.longestTimeoutUs = Math.max(statistics.longestTimeoutUs, timeoutUs);
    boolean cut =
        event.retriedByClient() && timeoutUs < CUT_TIMEOUT_SHARE * statistics.longestTimeoutUs;
    return cut ? Math.max(0, statistics.queryClass().deadlineUs() - timeoutUs) : 0;
  }

  /** After this nothing is gained: the objective where late answers are worthless, else the end. */
  long giveUpUs(Query query) {
    long endUs =
        query.queryClass.lateWeight() > 0
            ? query.deadlineUs
            : Math.min(query.objectiveUs, query.deadlineUs);
    return endUs - context.answerMarginUs();
  }

  /** In time for the objective; a first answer leaves time for the second step. */
  long targetUs(Query query) {
    double secondStepUs =
        query.step > 1 || query.queryClass.followUp() == 0
            ? 0
            : Math.min(
                MAX_SECOND_STEP_SHARE * query.queryClass.latencyObjectiveUs(),
                query.statistics.latencies.quantile(SECOND_STEP_QUANTILE));
    return Math.min(query.objectiveUs, query.deadlineUs)
        - context.answerMarginUs()
        - (long) secondStepUs;
  }

  /** What the query is planned for: the target while it is ahead. */
  long planUs(Query query) {
    long targetUs = targetUs(query);
    return context.nowUs() < targetUs ? targetUs : giveUpUs(query);
  }

  /**
   * When an attempt sent now must end by itself. Where attempts can be cancelled maintenance ends
   * them; elsewhere the timeout must. It also keeps servers from work that nobody waits for, which
   * a cancel may not: a part whose query is answered at its target with what has arrived lasts no
   * longer. This may hurt where the target passes with less than the floor.
   */
  long attemptTimeoutUs(Query query) {
    long nowUs = context.nowUs();
    long endUs = Math.max(nowUs + 1, giveUpUs(query));
    QueryClass queryClass = query.queryClass;
    if (context.settings().limits().mayCancel()
        || queryClass.idempotency() == Idempotency.SINGLE_SHOT) {
      long lastUs = queryClass.floor() < queryClass.need() ? planUs(query) : query.deadlineUs;
      return Math.max(nowUs + 1, lastUs);
    }
    double lateUs = TIMEOUT_FACTOR * query.statistics.latencies.quantile(TIMEOUT_QUANTILE);
    return context.settings().limits().parallelAttempts()
        ? endUs
        : Math.min(endUs, nowUs + (long) lateUs);
  }

  /**
   * The Retry-After of a rejected query: a client is asked to come back while its objective can
   * still be met, if it can; else as late as clients heed.
   */
  long retryAfterUs(Query query) {
    long maxUs = context.settings().limits().maxRetryAfterUs();
    double workUs = RETRY_SERVICE_TIMES * serviceTimes.typicalUs(query.statistics);
    long slackUs = (long) (query.objectiveUs - context.nowUs() - workUs);
    return slackUs > 0 ? Math.min(maxUs, Math.max(1, slackUs / RETRY_AFTER_FRACTION)) : maxUs;
  }
}
