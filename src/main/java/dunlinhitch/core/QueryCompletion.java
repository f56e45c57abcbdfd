package dunlinhitch.core;

import java.util.function.Consumer;

/**
 * Completes queries: sends each exactly one response and removes it from the registry. Owned by the
 * reducer; not thread-safe.
 */
final class QueryCompletion {
  private final TurnContext context;
  private final InFlightRegistry registry;
  private final Counters counters;
  private final ClassOutcomes outcomes;
  private final Consumer<InFlightQuery> closeListener;

  /**
   * Creates an instance.
   *
   * @param closeListener called for each query after its removal from the registry and before its
   *     response is sent
   */
  QueryCompletion(
      ReducerState state, ClassOutcomes outcomes, Consumer<InFlightQuery> closeListener) {
    context = state.context();
    registry = state.registry();
    counters = state.counters();
    this.outcomes = outcomes;
    this.closeListener = closeListener;
  }

  /** Answers a query with the values received so far. */
  void serve(InFlightQuery query, QueryResponse.Served response) {
    respond(
        query,
        response,
        response.complete() ? Counter.RESPONSES_COMPLETE : Counter.RESPONSES_PARTIAL);
  }

  /**
   * Rejects a query that may be retried, either because none of its parts can have been executed or
   * because its class allows repetition.
   */
  void reject(InFlightQuery query, long retryAfterUs) {
    respond(query, new QueryResponse.Rejected(retryAfterUs), Counter.QUERIES_REJECTED);
  }

  void expire(InFlightQuery query) {
    respond(query, new QueryResponse.DeadlineExceeded(), Counter.DEADLINES_EXCEEDED);
  }

  /**
   * Fails a query. If at most two ticks remain until its deadline, the failure is reported as an
   * exceeded deadline.
   */
  void fail(InFlightQuery query) {
    if (context.nowUs() >= query.request.deadlineUs() - 2 * context.settings().tickUs()) {
      expire(query);
    } else {
      respond(query, new QueryResponse.Failed(), Counter.QUERIES_FAILED);
    }
  }

  /** Removes a query without sending a response. */
  void close(InFlightQuery query) {
    if (query.mayHaveExecuted()) {
      registry.executedQueries.add(query.request.id(), context.nowUs());
    } else if (query.idClaimed) {
      context.emit(new Effect.ReleaseQueryId(query.request.id()));
    }
    registry.remove(query);
    closeListener.accept(query);
  }

  private void respond(InFlightQuery query, QueryResponse response, Counter counter) {
    counters.add(counter);
    close(query);
    emit(query.exchange, query.request, response);
  }

  /** Emits the final response of an exchange and records its outcome under the query's class. */
  void emit(long exchange, QueryRequest request, QueryResponse response) {
    outcomes.record(request.queryClass().name(), response);
    context.emit(new Effect.SendResponse(exchange, response));
  }
}
