package dunlinhitch.experiments.simulation;

import dunlinhitch.balancer.settings.Settings;
import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.Reducer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * Runs the production reducer on virtual time. Events are collected and passed to the reducer in
 * batches, as by the event loop of a real broker.
 */
final class SimulatedBroker {
  final int number;
  final Reducer reducer;
  private final Scheduler time;
  private final BiConsumer<SimulatedBroker, Effect> effectHandler;
  private List<Event> pendingEvents = new ArrayList<>();
  private long lastTurnUs;
  private long nextTurnUs = Long.MAX_VALUE;
  private boolean crashed;

  SimulatedBroker(
      int number,
      Settings settings,
      long seed,
      Scheduler time,
      BiConsumer<SimulatedBroker, Effect> effectHandler) {
    this.number = number;
    this.time = time;
    this.effectHandler = effectHandler;
    reducer = new Reducer(settings, seed, time.now());
    scheduleTurn(time.now());
  }

  boolean isCrashed() {
    return crashed;
  }

  void crash() {
    crashed = true;
  }

  void accept(Event event) {
    if (!crashed) {
      pendingEvents.add(event);
      scheduleTurn(lastTurnUs + reducer.settings().tickUs());
    }
  }

  private void scheduleTurn(long dueUs) {
    if (crashed || dueUs >= nextTurnUs) {
      return;
    }
    nextTurnUs = dueUs;
    time.scheduleAt(dueUs, () -> runTurn(dueUs));
  }

  private void runTurn(long dueUs) {
    if (crashed || dueUs != nextTurnUs) {
      return;
    }
    nextTurnUs = Long.MAX_VALUE;
    lastTurnUs = time.now();
    List<Event> events = pendingEvents;
    pendingEvents = new ArrayList<>();
    for (Effect effect : reducer.turn(lastTurnUs, events)) {
      if (effect instanceof Effect.ScheduleWakeUp wakeUp) {
        scheduleTurn(Math.max(wakeUp.dueUs(), lastTurnUs + reducer.settings().tickUs()));
      } else {
        effectHandler.accept(this, effect);
      }
    }
  }
}
