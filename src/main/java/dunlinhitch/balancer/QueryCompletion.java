package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.Idempotency;

/**
 * Decides when and how a query ends: with a complete or partial answer, a rejection that is safe to
 * retry, or a failure. Each query gets exactly one final outcome.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class QueryCompletion {
  /** Tolerance for sums of part weights. */
  static final double WEIGHT_TOLERANCE = 0.00005;

  /** A part is unattainable once the time left is less than this fraction of its service time. */
  private static final double UNATTAINABLE_SHARE = 0.5;

  /** Fraction of its time after which a query without any attempt is rejected. */
  private static final double UNSENT_SHARE = 0.48;

  private final BalancerContext context;
  private final QueryRegistry queries;
  private final Estimators estimators;
  private final AttemptSender attempts;
  private final HealthCheckBudget healthCheckBudget;

  QueryCompletion(
      BalancerContext context,
      QueryRegistry queries,
      Estimators estimators,
      AttemptSender attempts,
      HealthCheckBudget healthCheckBudget) {
    this.context = context;
    this.queries = queries;
    this.estimators = estimators;
    this.attempts = attempts;
    this.healthCheckBudget = healthCheckBudget;
  }

  /**
   * Ends the query if the answered parts are complete, if a partial answer is the best achievable
   * outcome, or if no part is pending.
   */
  void evaluate(Query query) {
    if (isComplete(query)) {
      answer(query, true);
    } else if (isPartialBest(query)) {
      answer(query, false);
    } else if (query.parts.stream().allMatch(part -> part.settled) && hasPartsOfStep(query)) {
      giveUp(query, GiveUpReason.UNATTAINABLE);
    }
  }

  /**
   * Ends a query for which waiting longer has no benefit: with the answered parts if they suffice
   * for an answer, otherwise with a rejection or failure.
   */
  void giveUp(Query query, GiveUpReason reason) {
    context.actions().onGivenUp(query.id, reason);
    if (mayAnswer(query)) {
      answer(query, isComplete(query));
      return;
    }
    healthCheckBudget.onQueryCompleted(false);
    if (query.queryClass.idempotency() == Idempotency.FREE || !mayHaveRun(query)) {
      boolean advise = context.settings().limits().retryAfter();
      context.actions().reject(query.id, advise ? estimators.deadlines.retryAfterUs(query) : 0);
    } else {
      context.actions().fail(query.id);
    }
    end(query);
  }

  /** Cancels the attempts in flight and removes the query, without an answer. */
  void end(Query query) {
    query.parts.forEach(attempts::cancelAll);
    queries.remove(query);
  }

  /**
   * True once the target time has passed and a partial answer has at least the weight of a late
   * complete answer. Guards against the few slow, unresponsive or dead servers that a query with
   * many parts usually encounters.
   */
  boolean isPartialBest(Query query) {
    return context.nowUs() >= estimators.deadlines.targetUs(query)
        && mayAnswer(query)
        && query.queryClass.floor() < query.queryClass.need()
        && query.queryClass.partialWeight() * query.answeredWeight / query.queryClass.need()
            >= query.queryClass.lateWeight();
  }

  /**
   * True once the answered and attainable parts together cannot reach the minimum weight of an
   * answer.
   */
  boolean isUnattainable(Query query) {
    if (!hasPartsOfStep(query)) {
      return false;
    }
    double attainableWeight = 0;
    double leftUs = estimators.deadlines.giveUpUs(query) - context.nowUs();
    for (Part part : query.parts) {
      if (part.step == query.step && (part.answered || isAttainable(part, leftUs))) {
        attainableWeight += part.weight;
      }
    }
    return attainableWeight < query.queryClass.floor() - WEIGHT_TOLERANCE;
  }

  /**
   * True if no attempt of the query could be sent within {@link #UNSENT_SHARE} of its time.
   * Rejecting it then lets the client retry within the deadline. The drawback is that a server may
   * become ready just afterwards.
   */
  boolean isUnsent(Query query) {
    double limitUs = query.arrivedUs + UNSENT_SHARE * (query.deadlineUs - query.arrivedUs);
    return context.nowUs() >= limitUs
        && query.parts.stream()
            .allMatch(part -> part.inFlight.isEmpty() && part.mayHaveRunUs < 0 && !part.answered);
  }

  private boolean isAttainable(Part part, double leftUs) {
    if (part.settled) {
      return false;
    }
    if (!part.inFlight.isEmpty()) {
      return true;
    }
    return attempts.hasAttemptsLeft(part)
        && (part.query.queryClass.idempotency() != Idempotency.SINGLE_SHOT || part.mayHaveRunUs < 0)
        && leftUs > UNATTAINABLE_SHARE * estimators.serviceTimes.ofPartUs(part);
  }

  /** False until the parts of the query's current step have arrived. */
  private static boolean hasPartsOfStep(Query query) {
    return query.parts.get(query.parts.size() - 1).step >= query.step;
  }

  private static boolean mayHaveRun(Query query) {
    return query.parts.stream().anyMatch(part -> part.mayHaveRunUs >= 0);
  }

  private static boolean mayAnswer(Query query) {
    return query.answeredWeight > 0
        && query.answeredWeight >= query.queryClass.floor() - WEIGHT_TOLERANCE
        && (query.step == 1 || query.queryClass.floor() < query.queryClass.need());
  }

  private static boolean isComplete(Query query) {
    if (query.step == 1) {
      return query.answeredWeight >= query.queryClass.need() - WEIGHT_TOLERANCE;
    }
    return query.firstStepComplete
        && query.parts.stream().allMatch(part -> part.step == 1 || part.answered)
        && query.parts.stream().filter(part -> part.step > 1).count() >= query.expectedParts;
  }

  private void answer(Query query, boolean complete) {
    healthCheckBudget.onQueryCompleted(complete);
    context.actions().answer(query.id, complete);
    if (query.step == 1 && query.queryClass.followUp() > 0) {
      beginSecondStep(query, complete);
    } else {
      end(query);
    }
  }

  private void beginSecondStep(Query query, boolean firstStepComplete) {
    query.firstStepComplete = firstStepComplete;
    query.expectedParts = Math.min(query.queryClass.followUp(), query.parts.size());
    query.parts.forEach(part -> part.settled = true);
    query.parts.forEach(attempts::cancelAll);
    query.step = 2;
    query.answeredWeight = 0;
  }
}
