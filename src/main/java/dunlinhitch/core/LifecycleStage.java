package dunlinhitch.core;

/** Handles draining and shutdown of the process. Owned by the reducer; not thread-safe. */
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
   * The time by which every query must be answered, in microseconds; {@link Long#MAX_VALUE} before
   * a drain.
   */
  long drainDeadlineUs() {
    return drainDeadlineUs;
  }

  /** True once shutdown has been requested; no queries are admitted from then on. */
  boolean isStopping() {
    return stopping;
  }

  /** True once the shutdown is complete; no decisions are made and no timers fire from then on. */
  boolean isStopped() {
    return stopped;
  }

  /** Sets the drain deadline, which also applies to open queries that have a later deadline. */
  void onDrainStarted(Event.DrainStarted event) {
    drainDeadlineUs = event.dueUs();
    registry.queries.values().stream()
        .filter(query -> query.request.deadlineUs() > drainDeadlineUs)
        .forEach(query -> timers.schedule(drainDeadlineUs, TimerQueue.Kind.QUERY, query.number));
  }

  void onShutdownRequested() {
    stopping = true;
  }

  /** Completes a requested shutdown once no queries are open. */
  void completeIfIdle() {
    if (stopping && !stopped && registry.queries.isEmpty()) {
      stopped = true;
      context.emit(new Effect.ShutdownCompleted());
    }
  }
}
