package dunlinhitch.core;

/** Draining and shutdown of the process. Owned by the reducer; not thread-safe. */
final class LifecycleStage {
  private final TurnContext context;
  private final InFlightRegistry registry;
  private final TimerQueue timers;
  private long drainDeadlineUs = Long.MAX_VALUE;
  private boolean stopping;
  private boolean stopped;

  LifecycleStage(ReducerState state) {
    context = state.context();
    registry = state.registry();
    timers = state.timers();
  }

  /**
   * By when everything must be answered, in microseconds; {@link Long#MAX_VALUE} before a drain.
   */
  long drainDeadlineUs() {
    return drainDeadlineUs;
  }

  /** True once the shutdown was requested: no query is admitted any more. */
  boolean isStopping() {
    return stopping;
  }

  /** True once the shutdown is complete: nothing is decided or due any more. */
  boolean isStopped() {
    return stopped;
  }

  /** Queries that arrived earlier with a later deadline are also answered by the drain's end. */
  void onDrainStarted(Event.DrainStarted event) {
    drainDeadlineUs = event.dueUs();
    registry.queries.values().stream()
        .filter(query -> query.request.deadlineUs() > drainDeadlineUs)
        .forEach(query -> timers.schedule(drainDeadlineUs, TimerQueue.Kind.QUERY, query.number));
  }

  void onShutdownRequested() {
    stopping = true;
  }

  /** Completes a requested shutdown as soon as no query is open. */
  void completeIfIdle() {
    if (stopping && !stopped && registry.queries.isEmpty()) {
      stopped = true;
      context.emit(new Effect.ShutdownCompleted());
    }
  }
}
