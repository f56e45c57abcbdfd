package dunlinhitch.balancer;

import dunlinhitch.balancer.settings.QueryClass;

/**
 * Sends and cancels the attempts of parts, subject to the retry rules.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class AttemptSender {
  /**
   * Fraction of the retry budget available to hedged attempts; the rest is reserved for retries of
   * failed parts.
   */
  private static final double HEDGE_BUDGET_SHARE = 0.7;

  private static final double FULL_BUDGET_SHARE = 1;

  private final BalancerContext context;
  private final Estimators estimators;
  private final ReplicaSelection selection;
  private final RetryBudget retryBudget;
  private final HealthCheckBudget healthCheckBudget;

  AttemptSender(
      BalancerContext context,
      Estimators estimators,
      ReplicaSelection selection,
      RetryBudget retryBudget,
      HealthCheckBudget healthCheckBudget) {
    this.context = context;
    this.estimators = estimators;
    this.selection = selection;
    this.retryBudget = retryBudget;
    this.healthCheckBudget = healthCheckBudget;
  }

  /**
   * Sends the part if it has no attempt in flight and the rules allow it. Otherwise the request
   * stays pending until the next maintenance run, the release of an attempt, or an update of the
   * server list.
   */
  void request(Part part) {
    if (part.settled
        || part.answered
        || !part.inFlight.isEmpty()
        || context.nowUs() >= part.query.deadlineUs) {
      return;
    }
    part.requested = true;
    if (mayBeExecuting(part)) {
      return;
    }
    if (part.attemptCount == 0 || mayRetry(part)) {
      send(part);
    }
  }

  /**
   * True if the part must wait, because only one attempt at a time is allowed and a server may
   * still be executing an earlier attempt of the part. This includes a cancelled attempt until its
   * server is known to have ended it, because the server may not have read the cancellation yet.
   */
  private boolean mayBeExecuting(Part part) {
    return part.unconfirmedAttempts > 0 && !context.settings().limits().parallelAttempts();
  }

  /** Sends the part's next attempt if a server is available for it. */
  void send(Part part) {
    Server server = selection.select(part);
    if (server == null) {
      return;
    }
    Attempt.Prediction prediction =
        new Attempt.Prediction(
            estimators.outstandingWork.withCallUs(server, part),
            estimators.outstandingWork.atUs(server),
            estimators.latencies.latencyUs(server, part));
    estimators.slowStart.onSend(server, part);
    Attempt attempt = new Attempt(part, server, context.nowUs(), prediction);
    estimators.idleConnections.beforeSend(attempt);
    if (part.attemptCount > 0) {
      retryBudget.onRetry();
    }
    estimators.penalties.onSend();
    attempt.begin();
    healthCheckBudget.onPartSent();
    context.actions().send(part.id, server.id, estimators.deadlines.attemptTimeoutUs(part.query));
  }

  /** Whether the rules allow the part another attempt after the previous one has ended. */
  boolean mayRetry(Part part) {
    return mayHaveFurtherAttempt(part) && retryBudget.allowsRetry(FULL_BUDGET_SHARE);
  }

  /** Whether the rules allow the part another attempt while one is in flight. */
  boolean mayHedge(Part part) {
    return mayHaveFurtherAttempt(part)
        && context.settings().limits().parallelAttempts()
        && isWithinHedgeBudget();
  }

  boolean isWithinHedgeBudget() {
    return retryBudget.allowsRetry(HEDGE_BUDGET_SHARE);
  }

  private boolean mayHaveFurtherAttempt(Part part) {
    return isRepeatSafe(part) && hasAttemptsLeft(part);
  }

  private boolean isRepeatSafe(Part part) {
    QueryClass queryClass = part.query.queryClass;
    boolean mayHaveRun = part.mayHaveRunUs >= 0;
    return switch (queryClass.idempotency()) {
      case FREE -> true;
      case GUARDED ->
          !mayHaveRun
              || context.nowUs()
                  <= part.mayHaveRunUs + queryClass.dedupWindowUs() - context.answerMarginUs();
      case SINGLE_SHOT -> !mayHaveRun;
    };
  }

  boolean hasAttemptsLeft(Part part) {
    int limit = Math.min(context.settings().limits().maxAttempts(), part.query.maxAttempts);
    return part.attemptCount < limit;
  }

  void cancelAll(Part part) {
    part.inFlight.forEach(this::cancel);
  }

  /** Cancels an attempt if the deployment supports cancellation; repeated calls have no effect. */
  void cancel(Attempt attempt) {
    if (context.settings().limits().mayCancel() && !attempt.cancelled) {
      attempt.cancelled = true;
      context.actions().cancel(attempt.part.id, attempt.number);
    }
  }
}
