package dunlinhitch.balancer;

import dunlinhitch.balancer.BalancerEvent.AttemptCompleted;
import dunlinhitch.balancer.BalancerEvent.AttemptReleased;
import dunlinhitch.balancer.BalancerEvent.ClientDisconnected;
import dunlinhitch.balancer.BalancerEvent.HealthCheckCompleted;
import dunlinhitch.balancer.BalancerEvent.PartArrived;
import dunlinhitch.balancer.BalancerEvent.QueryArrived;
import dunlinhitch.balancer.BalancerEvent.ServerDisabled;
import dunlinhitch.balancer.BalancerEvent.ServerListUpdated;
import dunlinhitch.balancer.BalancerEvent.SettingsChanged;
import dunlinhitch.balancer.BalancerEvent.Started;
import dunlinhitch.balancer.BalancerEvent.TimerFired;
import dunlinhitch.balancer.settings.Settings;

/**
 * The load balancer of one broker: a facade that dispatches each event to the classes that handle
 * it.
 *
 * <p>The common path is Graham's least-loaded rule: each part is sent to the replica of its shard
 * with the least predicted outstanding work, which is charged at the send and released at the end
 * of the attempt. The other classes refine that prediction or handle attempts that are late or
 * fail.
 *
 * <p>Deterministic, without clock, I/O or threads: the same events and seed give the same actions.
 * Not thread-safe; its caller owns it and calls it on one thread.
 */
public final class LoadBalancer {
  private final BalancerContext context;
  private final QueryRegistry queries = new QueryRegistry();
  private final Estimators estimators;
  private final ReplicaSelection selection;
  private final RetryBudget retryBudget;
  private final AttemptSender attempts;
  private final QueryCompletion completion;
  private final CanaryPart canary;
  private final Admission admission;
  private final HealthChecks healthChecks;
  private final ServerListUpdates serverList;
  private final AttemptFeedback feedback;
  private final QueryMaintenance maintenance;
  private long nextSweepUs;

  /**
   * Creates a load balancer without servers.
   *
   * @param seed seed of all random choices
   * @param actions called from within {@link #on} only
   */
  public LoadBalancer(Settings settings, long seed, BalancerActions actions) {
    context = new BalancerContext(settings, seed, actions);
    estimators = new Estimators(context);
    selection = new ReplicaSelection(context, estimators);
    retryBudget = new RetryBudget(context);
    HealthCheckBudget healthCheckBudget = new HealthCheckBudget(context);
    attempts = new AttemptSender(context, estimators, selection, retryBudget, healthCheckBudget);
    completion = new QueryCompletion(context, queries, estimators, attempts, healthCheckBudget);
    canary = new CanaryPart(context, estimators, attempts);
    admission = new Admission(context, estimators, selection, attempts, completion, canary);
    healthChecks = new HealthChecks(context, estimators, queries, healthCheckBudget, admission);
    serverList = new ServerListUpdates(context, estimators);
    feedback = new AttemptFeedback(context, estimators);
    Hedging hedging = new Hedging(context, estimators, selection, attempts);
    maintenance =
        new QueryMaintenance(context, estimators.deadlines, admission, hedging, completion);
  }

  /**
   * Handles one event; all resulting actions are called before this returns. Events without an
   * effect on decisions are ignored.
   *
   * @param nowUs time of the event in microseconds; if an earlier event had a later time, that
   *     later time is used
   */
  public void on(long nowUs, BalancerEvent event) {
    context.advanceTo(nowUs);
    if (event instanceof QueryArrived arrived) {
      onQueryArrived(arrived);
    } else if (event instanceof PartArrived arrived) {
      onPartArrived(arrived);
    } else if (event instanceof AttemptCompleted completed) {
      onAttemptCompleted(completed);
    } else if (event instanceof AttemptReleased released) {
      onAttemptReleased(released);
    } else if (event instanceof HealthCheckCompleted completed) {
      healthChecks.onCompleted(completed);
    } else if (event instanceof ServerListUpdated updated) {
      onServerListUpdated(updated);
    } else if (event instanceof TimerFired fired) {
      onTimerFired(fired);
    } else if (event instanceof ClientDisconnected disconnected) {
      onClientDisconnected(disconnected);
    } else if (event instanceof ServerDisabled disabled) {
      serverList.onDisabled(disabled);
    } else if (event instanceof SettingsChanged changed) {
      applySettings(changed.settings());
    } else if (event instanceof Started) {
      onStarted();
    }
  }

  /** A query in flight keeps the class and the attempt limit that applied when it arrived. */
  private void applySettings(Settings settings) {
    context.applySettings(settings);
    admission.applySettings();
    estimators.serviceTimes.applySettings();
  }

  private void onStarted() {
    scheduleSweep();
    if (context.settings().mustPollServerList()) {
      context.actions().subscribeToServerList();
    }
  }

  private void onQueryArrived(QueryArrived event) {
    retryBudget.onReceived();
    ClassStatistics statistics = estimators.serviceTimes.ofClass(event.queryClass());
    int maxAttempts = context.settings().limits().maxAttempts();
    Query query = new Query(event, statistics, maxAttempts, context.nowUs());
    long lagUs = (long) estimators.lag.lagUs();
    query.objectiveUs = estimators.deadlines.objectiveUs(event, statistics, lagUs);
    queries.add(query);
    BalancerTimers.scheduleQuery(context, query, estimators.deadlines.giveUpUs(query));
    BalancerTimers.scheduleQuery(context, query, estimators.deadlines.targetUs(query));
  }

  private void onPartArrived(PartArrived event) {
    retryBudget.onReceived();
    Query query = queries.byNumber(event.number());
    if (query == null || query.ended) {
      return;
    }
    Part part = new Part(query, event);
    queries.add(part);
    if (query.step > 1) {
      attempts.request(part);
      return;
    }
    if (query.parts.size() != query.expectedParts) {
      return;
    }
    if (context.nowUs() >= estimators.deadlines.giveUpUs(query)) {
      completion.giveUp(query, GiveUpReason.TIME_OVER);
    } else if (!healthChecks.defer(query)) {
      admission.admit(query);
    }
  }

  private void onAttemptCompleted(AttemptCompleted event) {
    Part part = queries.part(event.part());
    Attempt attempt = part == null ? null : part.attempt(event.attempt());
    if (attempt == null) {
      return;
    }
    attempt.end(context.nowUs());
    part.unconfirmedAttempts += event.unconfirmed() ? 1 : 0;
    feedback.onCompleted(attempt, event);
    correctAttemptCounts(attempt, event.outcome());
    if (event.outcome() == AttemptOutcome.RESET) {
      canary.onReset(attempt);
    }
    if (!part.query.ended && canary.isSuspect(part.query)) {
      completion.giveUp(part.query, GiveUpReason.SUSPECT);
    }
    advance(part, event);
    queries.removeIfFinished(part);
  }

  private void onAttemptReleased(AttemptReleased event) {
    Part part = queries.part(event.part());
    if (part == null) {
      return;
    }
    part.unconfirmedAttempts--;
    if (part.requested && !part.query.ended) {
      attempts.request(part);
    }
  }

  /**
   * Reverts the counts that were made when the attempt was sent, if the attempt is now known to
   * have had no effect.
   */
  private void correctAttemptCounts(Attempt attempt, AttemptOutcome outcome) {
    Part part = attempt.part;
    if (outcome == AttemptOutcome.MOOT && attempt.number > 0) {
      retryBudget.refund(attempt.sentUs);
    }
    if (outcome.neverExecuted() && part.inFlight.isEmpty() && part.mayHaveRunUs == attempt.sentUs) {
      part.mayHaveRunUs = -1;
    }
  }

  /** Updates the state of a part and its query after an attempt has ended. */
  private void advance(Part part, AttemptCompleted event) {
    Query query = part.query;
    boolean answered = event.outcome() == AttemptOutcome.OK;
    if (answered && !query.ended && !part.settled) {
      onPartAnswered(part);
    } else if (event.settled()) {
      part.settled = true;
    } else if (!query.ended && !part.answered) {
      attempts.request(part);
    }
    if (!query.ended && !answered && completion.isUnattainable(query)) {
      completion.giveUp(query, GiveUpReason.UNATTAINABLE);
    }
  }

  private void onPartAnswered(Part part) {
    Query query = part.query;
    part.answered = true;
    part.settled = true;
    query.answeredWeight += part.step == query.step ? part.weight : 0;
    query.anyPartAnswered = true;
    attempts.cancelAll(part);
    completion.evaluate(query);
    if (!query.ended && query.deferredUntilUs > 0) {
      admission.resume(query);
    }
  }

  private void onClientDisconnected(ClientDisconnected event) {
    Query query = queries.get(event.query());
    if (query != null) {
      completion.end(query);
    }
  }

  private void onServerListUpdated(ServerListUpdated event) {
    if (event.kind() == ServerListKind.FAILED) {
      serverList.onPollFailed();
      return;
    }
    serverList.apply(event);
    for (Query query : queries.snapshot()) {
      for (Part part : query.parts) {
        if (part.requested) {
          attempts.request(part);
        }
      }
    }
  }

  private void onTimerFired(TimerFired event) {
    long token = event.token();
    if (token == BalancerTimers.POLL_SERVER_LIST) {
      context.actions().subscribeToServerList();
      return;
    }
    if (BalancerTimers.isQueryToken(token)) {
      Query query = queries.get(BalancerTimers.queryId(token));
      if (query != null) {
        maintenance.examine(query);
      }
      return;
    }
    if (token == BalancerTimers.SWEEP) {
      onSweep();
    }
    queries.snapshot().forEach(maintenance::examine);
  }

  private void onSweep() {
    estimators.lag.onSweep(nextSweepUs);
    scheduleSweep();
    long warmServers =
        context.servers().values().stream()
            .filter(server -> selection.isReady(server) && estimators.slowStart.isWarm(server))
            .count();
    estimators.slowStart.setWarmServers(warmServers);
  }

  private void scheduleSweep() {
    nextSweepUs = context.nowUs() + context.sweepIntervalUs();
    context.actions().scheduleTimer(BalancerTimers.SWEEP, nextSweepUs);
  }
}
