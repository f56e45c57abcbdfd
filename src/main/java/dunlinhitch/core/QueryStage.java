package dunlinhitch.core;

import dunlinhitch.balancer.BalancerEvent;
import dunlinhitch.balancer.settings.Idempotency;
import dunlinhitch.balancer.settings.Limits;
import dunlinhitch.balancer.settings.Settings;
import java.util.function.BooleanSupplier;

/**
 * Handles arriving queries, disconnected clients and query deadlines. Owned by the reducer; not
 * thread-safe.
 */
final class QueryStage {
  private final TurnContext context;
  private final InFlightRegistry registry;
  private final Counters counters;
  private final TimerQueue timers;
  private final BalancerGateway balancer;
  private final QueryCompletion completion;
  private final LifecycleStage lifecycle;
  private final BooleanSupplier fenced;

  /** Null if no class uses two phases. */
  private final TwoPhaseStage twoPhases;

  QueryStage(
      QueryCompletion completion,
      BalancerGateway balancer,
      LifecycleStage lifecycle,
      TwoPhaseStage twoPhases,
      BooleanSupplier fenced,
      ReducerState state) {
    this.completion = completion;
    this.balancer = balancer;
    this.lifecycle = lifecycle;
    this.twoPhases = twoPhases;
    this.fenced = fenced;
    context = state.context();
    registry = state.registry();
    counters = state.counters();
    timers = state.timers();
  }

  void handle(Event.QueryEvent event) {
    if (event instanceof Event.QueryReceived received) {
      onReceived(received);
    } else if (event instanceof Event.ClientDisconnected disconnected) {
      onClientDisconnected(disconnected);
    }
  }

  private void onReceived(Event.QueryReceived event) {
    Settings settings = context.settings();
    int queryClass = context.classIndex(event.request().queryClass().name());
    QueryRequest request =
        event
            .request()
            .withDeadlineAtMost(lifecycle.drainDeadlineUs())
            .withQueryClass(
                queryClass < 0 ? event.request().queryClass() : settings.classes().get(queryClass));
    counters.add(Counter.QUERIES_RECEIVED);
    int tenant = context.tenantIndex(request.tenant());
    boolean unknownTenant = !settings.tenants().isEmpty() && tenant < 0;
    counters.add(Counter.TENANTS_UNKNOWN, unknownTenant ? 1 : 0);
    if (isRepeat(event)) {
      counters.add(Counter.QUERIES_REPEATED);
      counters.add(Counter.QUERIES_NOT_ADMITTED);
      completion.emit(event.exchange(), request, responseToRepeat(request));
      return;
    }
    if (queryClass < 0 || !isAdmissible(event.request(), request)) {
      counters.add(Counter.QUERIES_NOT_ADMITTED);
      completion.emit(event.exchange(), request, rejection());
      if (event.claim() == Event.IdClaim.CLAIMED) {
        context.emit(new Effect.ReleaseQueryId(request.id()));
      }
      return;
    }
    InFlightQuery query = open(event.exchange(), request);
    query.idClaimed = event.claim() == Event.IdClaim.CLAIMED;
    if (twoPhases == null || !twoPhases.open(query)) {
      deliver(query, queryClass, tenant);
    }
  }

  /**
   * Whether the id is that of an open query, or of one that may have been executed, by this or
   * another process of this broker.
   */
  private boolean isRepeat(Event.QueryReceived event) {
    String id = event.request().id();
    return event.claim() == Event.IdClaim.REFUSED
        || registry.queriesById.containsKey(id)
        || registry.executedQueries.contains(id, context.nowUs());
  }

  /**
   * A rejection states that trying again is safe, which is not so for a query that may be executed
   * only once.
   */
  private QueryResponse responseToRepeat(QueryRequest request) {
    return request.queryClass().idempotency() == Idempotency.SINGLE_SHOT
        ? new QueryResponse.Failed()
        : rejection();
  }

  private QueryResponse rejection() {
    Limits limits = context.settings().limits();
    return new QueryResponse.Rejected(limits.retryAfter() ? limits.maxRetryAfterUs() : 0);
  }

  /**
   * Whether a query may be admitted.
   *
   * @param asRead the request as it was read, with the definition of its class at that time
   * @param request the same request with the current definition of the class
   */
  private boolean isAdmissible(QueryRequest asRead, QueryRequest request) {
    // True if a reload has made idempotency keys mandatory for the class since the request was
    // read. Endpoints now need the key to recognize a repeated part.
    boolean keyMissing =
        request.queryClass().idempotency() == Idempotency.GUARDED
            && asRead.queryClass().idempotency() != Idempotency.GUARDED;
    boolean overLimit =
        registry.size() + 1 + request.parts().size() > context.settings().limits().maxInFlight();
    return !keyMissing
        && !lifecycle.isStopping()
        && !fenced.getAsBoolean()
        && !overLimit
        && request.deadlineUs() > context.nowUs();
  }

  private InFlightQuery open(long exchange, QueryRequest request) {
    int attemptLimit = context.settings().limits().maxAttempts();
    InFlightQuery query = new InFlightQuery(context.nextNumber(), exchange, request, attemptLimit);
    registry.add(query);
    for (QueryRequest.PartRequest partRequest : request.parts()) {
      InFlightPart part = new InFlightPart(context.nextNumber(), query, partRequest);
      query.parts.add(part);
      registry.parts.put(part.number, part);
    }
    counters.add(Counter.PARTS_ADMITTED, query.parts.size());
    timers.schedule(request.deadlineUs(), TimerQueue.Kind.QUERY, query.number);
    return query;
  }

  private void deliver(InFlightQuery query, int queryClass, int tenant) {
    QueryRequest request = query.request;
    long workHintUs = 0;
    for (QueryRequest.PartRequest part : request.parts()) {
      workHintUs += part.hintUs();
    }
    balancer.deliver(
        new BalancerEvent.QueryArrived(
            query.number,
            query.number,
            queryClass,
            tenant,
            query.parts.size(),
            request.deadlineUs(),
            workHintUs,
            request.retriedByClient()));
    for (InFlightPart part : query.parts) {
      QueryRequest.PartRequest partRequest = part.request;
      balancer.deliver(
          new BalancerEvent.PartArrived(
              part.number,
              query.number,
              partRequest.shard(),
              partRequest.weight(),
              partRequest.hintUs()));
    }
  }

  private void onClientDisconnected(Event.ClientDisconnected event) {
    InFlightQuery query = registry.queriesByExchange.get(event.exchange());
    if (query != null) {
      counters.add(Counter.CLIENTS_DISCONNECTED);
      completion.close(query);
      balancer.deliver(new BalancerEvent.ClientDisconnected(query.number));
    }
  }

  /**
   * Handles the deadline of a query. The load balancer normally ends queries earlier; a query that
   * is still open expires here.
   */
  void onDeadline(int number) {
    InFlightQuery query = registry.queries.get(number);
    if (query != null) {
      completion.expire(query);
      balancer.deliver(new BalancerEvent.ClientDisconnected(query.number));
    }
  }
}
