package dunlinhitch.core;

import dunlinhitch.balancer.AttemptOutcome;
import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.twophase.TwoPhasePlan;
import dunlinhitch.twophase.TwoPhasePlanner;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Executes queries in two phases: turns the plans of {@link TwoPhasePlanner} into sub-queries of
 * the load balancer and combines their results into one response. The rules are documented in
 * docs/phases.md. Owned by the reducer; not thread-safe. The class is loaded only if a query class
 * uses two phases.
 */
final class TwoPhaseStage {
  /** How the load balancer ended a sub-query. */
  enum SubQueryEnd {
    ANSWERED,
    REJECTED,
    FAILED
  }

  private final TwoPhasePlanner planner;
  private final FirstPassClasses firstPassClasses;
  private final FirstPassSupport firstPassSupport;
  private final TwoPhaseModeLog modeLog;
  private final ReducerState state;
  private final TurnContext context;
  private final BalancerGateway balancer;
  private final QueryCompletion completion;
  private final AttemptStage attempts;
  private final ConfigurationStage configuration;
  private final Map<Integer, TwoPhaseQuery> queries = new HashMap<>();
  private final Map<Integer, TwoPhaseQuery> queriesBySubQuery = new HashMap<>();

  /**
   * Creates the stage.
   *
   * @param configuration must provide the classes for first passes
   */
  TwoPhaseStage(
      TwoPhasePlanner planner,
      ConfigurationStage configuration,
      ReducerState state,
      BalancerGateway balancer,
      QueryCompletion completion,
      AttemptStage attempts) {
    this.planner = planner;
    this.configuration = configuration;
    firstPassClasses = configuration.firstPassClasses();
    this.state = state;
    this.balancer = balancer;
    this.completion = completion;
    this.attempts = attempts;
    context = state.context();
    firstPassSupport = new FirstPassSupport(context, state.registry());
    modeLog = new TwoPhaseModeLog(context, planner);
  }

  /** The planner's statistics for each class. */
  List<TwoPhasePlanner.ClassStatus> statistics() {
    return planner.status(context.nowUs());
  }

  // ---- opening

  /** Opens a query in two phases; returns false if it must be opened as a single query instead. */
  boolean open(InFlightQuery query) {
    QueryRequest request = query.request;
    String className = request.queryClass().name();
    if (!planner.isEnabled(className) || request.queryClass().idempotency() != Idempotency.FREE) {
      return false;
    }
    TwoPhasePlan plan = plan(query);
    state
        .counters()
        .add(plan.twoPhases() ? Counter.QUERIES_IN_TWO_PHASES : Counter.QUERIES_IN_ONE_PHASE);
    modeLog.onPlanned(className, plan.reason());
    if (!plan.twoPhases()) {
      return false;
    }
    if (firstPassClasses.updateRelativeCost(className, planner.costRatio(className))) {
      configuration.publishSettings();
    }
    start(new TwoPhaseQuery(query, context.nowUs()), plan);
    return true;
  }

  private TwoPhasePlan plan(InFlightQuery query) {
    QueryRequest request = query.request;
    List<Integer> shards = query.parts.stream().map(part -> part.request.shard()).toList();
    Set<Integer> supported = new HashSet<>();
    shards.stream().filter(firstPassSupport::covers).forEach(supported::add);
    long objectiveUs = context.nowUs() + request.queryClass().latencyObjectiveUs();
    return planner.plan(
        context.nowUs(),
        request.queryClass().name(),
        shards,
        supported,
        request.text(),
        Math.min(request.deadlineUs(), objectiveUs));
  }

  private void start(TwoPhaseQuery twoPhase, TwoPhasePlan plan) {
    InFlightQuery query = twoPhase.query;
    queries.put(query.number, twoPhase);
    List<InFlightPart> fullPassParts = new ArrayList<>();
    for (InFlightPart part : query.parts) {
      if (plan.firstPassShards().contains(part.request.shard())) {
        part.inFirstPass = true;
        twoPhase.firstPassParts.put(part.request.shard(), part);
      } else {
        fullPassParts.add(part);
      }
    }
    openFirstPass(twoPhase, plan.firstPassEndUs());
    if (!fullPassParts.isEmpty() && queries.containsKey(query.number)) {
      openFullPass(twoPhase, fullPassParts);
    }
    state.timers().schedule(plan.firstPassEndUs(), TimerQueue.Kind.FIRST_PASS, query.number);
  }

  private void openFirstPass(TwoPhaseQuery twoPhase, long endUs) {
    int number = context.nextNumber();
    twoPhase.firstPassSubQuery = number;
    List<InFlightPart> parts = List.copyOf(twoPhase.firstPassParts.values());
    int queryClass = firstPassClasses.indexOf(twoPhase.className());
    openSubQuery(twoPhase, number, queryClass, parts, endUs);
  }

  private void openFullPass(TwoPhaseQuery twoPhase, List<InFlightPart> parts) {
    int queryClass = context.classIndex(twoPhase.className());
    long deadlineUs = twoPhase.query.request.deadlineUs();
    openSubQuery(twoPhase, context.nextNumber(), queryClass, parts, deadlineUs);
  }

  /**
   * Opens a sub-query of the load balancer for the given parts, whose weights are scaled to a sum
   * of 1.
   */
  private void openSubQuery(
      TwoPhaseQuery twoPhase,
      int number,
      int queryClass,
      List<InFlightPart> parts,
      long deadlineUs) {
    boolean firstPass = number == twoPhase.firstPassSubQuery;
    twoPhase.openSubQueries.add(number);
    queriesBySubQuery.put(number, twoPhase);
    double totalWeight = parts.stream().mapToDouble(part -> part.request.weight()).sum();
    long workHintUs = firstPass ? 0 : parts.stream().mapToLong(part -> part.request.hintUs()).sum();
    QueryRequest request = twoPhase.query.request;
    balancer.deliver(
        new BalancerEvent.QueryArrived(
            number,
            number,
            queryClass,
            context.tenantIndex(request.tenant()),
            parts.size(),
            deadlineUs,
            workHintUs,
            request.retriedByClient()));
    for (InFlightPart part : parts) {
      double weight = totalWeight > 0 ? part.request.weight() / totalWeight : 1.0 / parts.size();
      long partHintUs = firstPass ? 0 : part.request.hintUs();
      balancer.deliver(
          new BalancerEvent.PartArrived(
              part.number,
              number,
              part.request.shard(),
              weight,
              partHintUs,
              part.unconfirmedAttempts));
    }
  }

  // ---- progress

  /**
   * Handles the end of a query at the load balancer. Has no effect unless the query is an open
   * sub-query of a two-phase query.
   */
  void onSubQueryEnded(int number, SubQueryEnd end, long retryAfterUs) {
    if (queriesBySubQuery.containsKey(number)) {
      balancer.runWhenIdle(() -> closeSubQuery(number, end, retryAfterUs));
    }
  }

  private void closeSubQuery(int number, SubQueryEnd end, long retryAfterUs) {
    TwoPhaseQuery twoPhase = queriesBySubQuery.remove(number);
    if (twoPhase == null) {
      return;
    }
    twoPhase.openSubQueries.remove(number);
    if (number == twoPhase.firstPassSubQuery) {
      // The query continues even if its first pass was rejected, because its full passes may still
      // be admitted.
      closeFirstPass(twoPhase);
      return;
    }
    twoPhase.rejected |= end == SubQueryEnd.REJECTED;
    twoPhase.retryAfterUs = Math.max(twoPhase.retryAfterUs, retryAfterUs);
    finishIfDone(twoPhase);
  }

  /**
   * Ends a query's first pass whose time limit has expired, without waiting for the missing
   * answers.
   */
  void onFirstPassTimeLimit(int query) {
    TwoPhaseQuery twoPhase = queries.get(query);
    if (twoPhase == null || twoPhase.firstPassSubQuery == TwoPhaseQuery.NONE) {
      return;
    }
    int number = twoPhase.firstPassSubQuery;
    queriesBySubQuery.remove(number);
    twoPhase.openSubQueries.remove(number);
    balancer.deliver(new BalancerEvent.ClientDisconnected(number));
    closeFirstPass(twoPhase);
  }

  /** Handles the answer to a first pass. The attempt that received it is still in flight. */
  void onFirstPassCompleted(InFlightAttempt attempt, Event.FirstPassCompleted event) {
    InFlightPart part = attempt.part();
    TwoPhaseQuery twoPhase = queries.get(part.query.number);
    if (twoPhase == null || !attempt.firstPass()) {
      return;
    }
    TwoPhasePlanner.FirstAnswer answer =
        new TwoPhasePlanner.FirstAnswer(event.records(), event.version(), event.emptyValue());
    twoPhase.firstPassAnswers.put(part.request.shard(), answer);
    planner.onFirstAnswer(
        context.nowUs(),
        twoPhase.className(),
        part.request.shard(),
        part.query.request.text(),
        answer,
        event.receivedUs() - attempt.sentUs());
  }

  /** Handles the completion of a full pass, whether its query runs in one phase or in two. */
  void onFullPassCompleted(InFlightAttempt attempt, String value) {
    InFlightQuery query = attempt.part().query;
    String className = query.request.queryClass().name();
    if (!planner.isEnabled(className)) {
      return;
    }
    // The value arrived at an unknown time within the tick before this turn; the mean delay is half
    // a tick.
    long latencyUs = context.nowUs() - attempt.sentUs() - context.settings().tickUs() / 2;
    planner.onFullAnswer(context.nowUs(), className, latencyUs);
    TwoPhaseQuery twoPhase = queries.get(query.number);
    int shard = attempt.part().request.shard();
    if (twoPhase != null && twoPhase.auditedShards.remove(shard)) {
      boolean confirmed = twoPhase.firstPassAnswers.get(shard).emptyValue().equals(value);
      finishAudit(attempt, confirmed);
    }
  }

  private void finishAudit(InFlightAttempt attempt, boolean confirmed) {
    String className = attempt.part().query.request.queryClass().name();
    int shard = attempt.part().request.shard();
    state.counters().add(confirmed ? Counter.AUDITS_CONFIRMED : Counter.AUDITS_REFUTED);
    if (planner.onAuditAnswer(context.nowUs(), className, shard, confirmed)) {
      context.log(
          "pruning is disabled for class "
              + className
              + ": the audit of shard "
              + shard
              + " at store "
              + attempt.endpoint().name()
              + " found records, but the first pass, at this or another store, had reported none");
    }
  }

  private void closeFirstPass(TwoPhaseQuery twoPhase) {
    twoPhase.firstPassSubQuery = TwoPhaseQuery.NONE;
    if (twoPhase.firstPassAnswers.size() < twoPhase.firstPassParts.size()) {
      reportMissingFirstPasses(twoPhase);
    }
    twoPhase.firstPassParts.values().forEach(this::cancelAttempts);
    TwoPhasePlanner.Outcome outcome =
        planner.onFirstPassEnded(
            context.nowUs(),
            twoPhase.className(),
            twoPhase.query.request.text(),
            twoPhase.firstPassParts.keySet(),
            twoPhase.firstPassAnswers);
    twoPhase.auditedShards.addAll(outcome.audited());
    for (int shard : outcome.pruned()) {
      twoPhase.firstPassParts.get(shard).value = twoPhase.firstPassAnswers.get(shard).emptyValue();
      twoPhase.prunedShards.add(shard);
    }
    state.counters().add(Counter.BLOCKS_PRUNED, outcome.pruned().size());
    List<InFlightPart> fullPassParts = new ArrayList<>();
    for (int shard : outcome.full()) {
      InFlightPart part = twoPhase.firstPassParts.get(shard);
      state.registry().startFullPass(part, context.nextNumber());
      fullPassParts.add(part);
    }
    if (!fullPassParts.isEmpty()) {
      openFullPass(twoPhase, fullPassParts);
    }
    finishIfDone(twoPhase);
  }

  /**
   * Counts a late first pass and reports its unanswered attempts to the planner. The shards of
   * these attempts get a full pass.
   */
  private void reportMissingFirstPasses(TwoPhaseQuery twoPhase) {
    state.counters().add(Counter.FIRST_PASSES_LATE);
    long waitedUs = context.nowUs() - twoPhase.startedUs;
    for (InFlightPart part : twoPhase.firstPassParts.values()) {
      boolean answered = twoPhase.firstPassAnswers.containsKey(part.request.shard());
      if (part.attemptsInFlight > 0 && !answered) {
        planner.onFirstAnswerTimeout(context.nowUs(), twoPhase.className(), waitedUs);
      }
    }
  }

  private void cancelAttempts(InFlightPart part) {
    for (InFlightAttempt attempt : state.registry().attemptsOf(part)) {
      balancer.deliver(attempts.abandon(attempt, AttemptOutcome.CANCELLED));
    }
  }

  // ---- completion

  /** Completes the client's query once all sub-queries are closed. */
  private void finishIfDone(TwoPhaseQuery twoPhase) {
    InFlightQuery query = twoPhase.query;
    if (twoPhase.isOpen() || queries.get(query.number) != twoPhase) {
      return;
    }
    if (query.isAnswerable()) {
      List<Integer> pruned =
          query.request.showPruned() ? twoPhase.prunedShards.stream().sorted().toList() : null;
      completion.serve(
          query, new QueryResponse.Served(query.isComplete(), query.receivedValues(), pruned));
    } else if (twoPhase.rejected) {
      completion.reject(query, twoPhase.retryAfterUs);
    } else {
      completion.fail(query);
    }
  }

  /** Handles the end of the client's query by ending its open sub-queries at the load balancer. */
  void onQueryClosed(InFlightQuery query) {
    TwoPhaseQuery twoPhase = queries.remove(query.number);
    if (twoPhase == null) {
      return;
    }
    for (int number : twoPhase.openSubQueries) {
      queriesBySubQuery.remove(number);
      balancer.deliverWhenIdle(new BalancerEvent.ClientDisconnected(number));
    }
  }
}
