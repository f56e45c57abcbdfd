package dunlinhitch.core;

/**
 * The state that the reducer's stages share.
 *
 * @param context time, settings and effects of the present turn
 * @param registry what is in flight
 * @param counters what is counted since the start
 * @param timers what is due at a set time
 * @param deferredEvents what the load balancer receives in a later turn
 */
record ReducerState(
    TurnContext context,
    InFlightRegistry registry,
    Counters counters,
    TimerQueue timers,
    DeferredEvents deferredEvents) {
  /** Creates an empty state around a context. */
  static ReducerState of(TurnContext context) {
    return new ReducerState(
        context,
        new InFlightRegistry(),
        new Counters(),
        new TimerQueue(),
        new DeferredEvents(context));
  }
}
