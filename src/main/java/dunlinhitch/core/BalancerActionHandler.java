package dunlinhitch.core;

import dunlinhitch.balancer.BalancerActions;
import dunlinhitch.balancer.GiveUpReason;
import dunlinhitch.balancer.settings.Idempotency;

/**
 * Executes the load balancer's actions by passing each to the responsible stage. Blocks responses
 * that would violate a rule; only a defective load balancer requests such a response. Owned by the
 * reducer; not thread-safe.
 */
final class BalancerActionHandler implements BalancerActions {
  private final ReducerState state;
  private final BalancerGateway balancer;
  private final QueryCompletion completion;
  private final AttemptStage attempts;
  private final HealthCheckStage healthChecks;
  private final SecondStepStage secondStep;

  /** Null if no class uses two phases. */
  private final TwoPhaseStage twoPhases;

  BalancerActionHandler(
      ReducerState state,
      BalancerGateway balancer,
      QueryCompletion completion,
      AttemptStage attempts,
      HealthCheckStage healthChecks,
      TwoPhaseStage twoPhases) {
    this.state = state;
    this.balancer = balancer;
    this.completion = completion;
    this.attempts = attempts;
    this.healthChecks = healthChecks;
    this.twoPhases = twoPhases;
    secondStep = new SecondStepStage(state, balancer);
  }

  @Override
  public void send(int part, int server, long dueUs) {
    attempts.send(part, server, dueUs);
  }

  @Override
  public void answer(int number, boolean complete) {
    InFlightQuery query = state.registry().queries.get(number);
    if (query == null) {
      endSubQuery(number, TwoPhaseStage.SubQueryEnd.ANSWERED, 0);
      return;
    }
    if (!query.isAnswerable()) {
      state.counters().add(Counter.RESPONSES_BLOCKED);
      completion.fail(query);
      return;
    }
    boolean verifiedComplete = complete && query.isComplete();
    if (SecondStepStage.isDue(query)) {
      balancer.runAfterDelivery(() -> secondStep.open(query, verifiedComplete));
      return;
    }
    completion.serve(query, new QueryResponse.Served(verifiedComplete, query.receivedValues()));
  }

  @Override
  public void reject(int number, long retryAfterUs) {
    InFlightQuery query = state.registry().queries.get(number);
    if (query == null) {
      endSubQuery(number, TwoPhaseStage.SubQueryEnd.REJECTED, retryAfterUs);
      return;
    }
    boolean mayHaveExecuted =
        query.allParts().stream().anyMatch(part -> part.earliestExecutionUs >= 0);
    if (mayHaveExecuted && query.request.queryClass().idempotency() == Idempotency.SINGLE_SHOT) {
      // the query fails instead of being rejected: a rejection tells the client that a retry is
      // safe
      state.counters().add(Counter.RESPONSES_BLOCKED);
      completion.fail(query);
      return;
    }
    completion.reject(query, retryAfterUs);
  }

  @Override
  public void fail(int number) {
    InFlightQuery query = state.registry().queries.get(number);
    if (query == null) {
      endSubQuery(number, TwoPhaseStage.SubQueryEnd.FAILED, 0);
      return;
    }
    completion.fail(query);
  }

  @Override
  public void onGivenUp(int number, GiveUpReason reason) {
    state
        .counters()
        .add(
            switch (reason) {
              case TIME_OVER -> Counter.GIVEN_UP_TIME_OVER;
              case OVERLOAD -> Counter.GIVEN_UP_OVERLOAD;
              case EVENT_LOOP_LATE -> Counter.GIVEN_UP_EVENT_LOOP_LATE;
              case UNSENT -> Counter.GIVEN_UP_UNSENT;
              case UNATTAINABLE -> Counter.GIVEN_UP_UNATTAINABLE;
              case SUSPECT -> Counter.GIVEN_UP_SUSPECT;
            });
  }

  private void endSubQuery(int number, TwoPhaseStage.SubQueryEnd end, long retryAfterUs) {
    if (twoPhases != null) {
      twoPhases.onSubQueryEnded(number, end, retryAfterUs);
    }
  }

  @Override
  public void cancel(int part, int attempt) {
    attempts.cancel(part, attempt);
  }

  @Override
  public void closeIdleConnections(int server) {
    state.context().emit(new Effect.CloseIdleConnections(server));
  }

  @Override
  public void sendHealthCheck(int server) {
    healthChecks.request(server);
  }

  @Override
  public void scheduleTimer(long token, long dueUs) {
    state.timers().schedule(dueUs, TimerQueue.Kind.BALANCER, token);
  }

  @Override
  public void subscribeToServerList() {
    state.context().emit(new Effect.RefreshEndpoints());
  }

  @Override
  public void log(String text) {
    state.context().log(text);
  }
}
