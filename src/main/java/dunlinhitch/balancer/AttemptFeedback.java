package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.AttemptCompleted;

/**
 * Passes the outcome of each attempt to the estimators.
 *
 * <p>Not thread-safe; the load balancer owns it.
 */
final class AttemptFeedback {
  private final BalancerContext context;
  private final Estimators estimators;

  AttemptFeedback(BalancerContext context, Estimators estimators) {
    this.context = context;
    this.estimators = estimators;
  }

  void onCompleted(Attempt attempt, AttemptCompleted event) {
    switch (event.outcome()) {
      case OK -> onAnswer(attempt);
      case ERROR, FULL, CONNECT_FAILED -> estimators.penalties.onFailure(attempt.server);
      case TIMEOUT, RESET -> {
        estimators.penalties.onFailure(attempt.server);
        estimators.idleConnections.onLoss(attempt);
      }
      case CANCELLED -> onCancelled(attempt);
      case MOOT -> {
        // The attempt was superseded before it was sent, so there is no information about the
        // server.
      }
    }
    if (context.settings().reportsInAnswers()) {
      estimators.loadReports.onReport(attempt.server, event.report());
    }
  }

  private void onAnswer(Attempt attempt) {
    attempt.server.lastAnswerUs = context.nowUs();
    estimators.serviceTimes.onAnswer(
        attempt.part.query.statistics, context.nowUs() - attempt.sentUs);
    estimators.slowStart.onAnswer(attempt);
    estimators.latencies.onLatency(attempt);
    estimators.penalties.onAnswer(attempt);
    estimators.idleConnections.onAnswer(attempt);
  }

  private void onCancelled(Attempt attempt) {
    if (context.nowUs() - attempt.sentUs > attempt.prediction.latencyUs()) {
      // The attempt is late. The time since its send is a lower bound of the latency that its
      // answer would have had.
      estimators.latencies.onLatency(attempt);
    }
    if (estimators.latencies.isUnresponsive(attempt)) {
      estimators.penalties.onFailure(attempt.server);
      estimators.idleConnections.onLoss(attempt);
    }
  }
}
