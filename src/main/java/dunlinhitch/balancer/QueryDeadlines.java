package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.QueryArrived;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.QueryClass;

/**
 * Computes the points in time at which a query must be answered or given up, in microseconds on the
 * balancer's clock.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class QueryDeadlines {
  /**
   * A client timeout shorter than this fraction of the longest timeout of its class counts as
   * shortened by the client.
   */
  private static final double CUT_TIMEOUT_SHARE = 0.97;

  /** Quantile of part latencies that gives the time reserved for a second step. */
  private static final double SECOND_STEP_QUANTILE = 0.9;

  /** Maximum time reserved for a second step, as a fraction of the latency objective. */
  private static final double MAX_SECOND_STEP_SHARE = 0.3;

  /** Quantile of part latencies on which the timeout is based if attempts cannot be cancelled. */
  private static final double TIMEOUT_QUANTILE = 0.95;

  /** Ratio of the timeout to the latency at {@link #TIMEOUT_QUANTILE}. */
  private static final double TIMEOUT_FACTOR = 2;

  /**
   * Time that must remain for a retry of a rejected query to be in time, as a multiple of the
   * service time of a typical part.
   */
  private static final double RETRY_SERVICE_TIMES = 2;

  /**
   * The Retry-After delay is the slack of a retry divided by this number. The slack is the time
   * until the objective minus the time reserved for the retry by {@link #RETRY_SERVICE_TIMES}.
   */
  private static final long RETRY_AFTER_FRACTION = 4;

  private final BalancerContext context;
  private final ServiceTimes serviceTimes;

  QueryDeadlines(BalancerContext context, ServiceTimes serviceTimes) {
    this.context = context;
    this.serviceTimes = serviceTimes;
  }

  /** The time at which a query that arrives now misses its latency objective. */
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
   * Returns the time that a client has already waited for earlier requests of the same query; 0 if
   * the request is not marked as a retry. A retry whose client timeout is shorter than others of
   * the class is assumed to have been shortened by the time already waited; that time is the
   * deadline of the class minus the client timeout. Without this correction, retries of queries
   * that have already missed their objective would displace queries that can still meet it. Clients
   * that use short timeouts for other reasons are at a disadvantage.
   */
  private long spentUs(QueryArrived event, ClassStatistics statistics) {
    long timeoutUs = event.deadlineUs() - context.nowUs();
    statistics.longestTimeoutUs = Math.max(statistics.longestTimeoutUs, timeoutUs);
    boolean cut =
        event.retriedByClient() && timeoutUs < CUT_TIMEOUT_SHARE * statistics.longestTimeoutUs;
    return cut ? Math.max(0, statistics.queryClass().deadlineUs() - timeoutUs) : 0;
  }

  /**
   * Returns the time after which the query is given up: its objective if late answers have no
   * weight, otherwise its deadline. The answer margin is subtracted in both cases.
   */
  long giveUpUs(Query query) {
    long endUs =
        query.queryClass.lateWeight() > 0
            ? query.deadlineUs
            : Math.min(query.objectiveUs, query.deadlineUs);
    return endUs - context.answerMarginUs();
  }

  /**
   * Returns the time by which the current step must be answered for the query to meet its
   * objective. If a second step follows, time is reserved for it.
   */
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

  /**
   * Returns the time by which the query is planned to be answered: the target, or the give-up time
   * once the target has passed.
   */
  long planUs(Query query) {
    long targetUs = targetUs(query);
    return context.nowUs() < targetUs ? targetUs : giveUpUs(query);
  }

  /**
   * Returns the time at which an attempt sent now times out. If attempts can be cancelled,
   * maintenance ends late attempts; otherwise only the timeout ends them. The timeout also stops
   * servers from doing work that is no longer needed if a cancellation fails to stop them. For that
   * reason, an attempt of a class that allows partial answers times out as soon as its query may be
   * answered without it. The drawback is that the attempt is lost even if the weight of the
   * answered parts is still below the class's {@code floor} at that time.
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
   * Returns the Retry-After delay of a rejected query. If a retry can still meet the objective, the
   * delay is short enough for that; otherwise it is the longest delay that clients honor.
   */
  long retryAfterUs(Query query) {
    long maxUs = context.settings().limits().maxRetryAfterUs();
    double workUs = RETRY_SERVICE_TIMES * serviceTimes.typicalUs(query.statistics);
    long slackUs = (long) (query.objectiveUs - context.nowUs() - workUs);
    return slackUs > 0 ? Math.min(maxUs, Math.max(1, slackUs / RETRY_AFTER_FRACTION)) : maxUs;
  }
}
