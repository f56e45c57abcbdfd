package dunlinhitch.core;

/**
 * The state shared by the reducer's stages.
 *
 * @param context time, settings and effects of the current turn
 * @param registry queries, parts and attempts in flight, and the endpoints
 * @param counters the broker's counters
 * @param timers pending timers
 * @param deferredEvents events for the load balancer in a later turn
 */
record ReducerState(
    TurnContext context,
    InFlightRegistry registry,
    Counters counters,
    TimerQueue timers,
    DeferredEvents deferredEvents) {
  /** Creates an empty state with the given context. */
  static ReducerState of(TurnContext context) {
    return new ReducerState(
        context,
        new InFlightRegistry(),
        new Counters(),
        new TimerQueue(),
        new DeferredEvents(context));
  }
}
