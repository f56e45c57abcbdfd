package dunlinhitch.server;

import dunlinhitch.core.Effect;
import dunlinhitch.core.Event;
import dunlinhitch.core.MicroClock;
import dunlinhitch.core.Reducer;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Event loop of the reducer: collects events into turns and passes the effects of each turn to a
 * handler. Turns are at least a tick apart; events that arrive in between share a turn, so that
 * their requests can share calls to backends.
 *
 * <p>Not thread-safe: all methods are called on the Vert.x event loop of {@code context}.
 */
final class ReducerLoop implements Consumer<Event> {
  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final Context context;
  private final Reducer reducer;
  private final LongSupplier clock;
  private final LongSupplier tickUs;
  private final Consumer<Throwable> faultHandler;
  private Consumer<Effect> effectHandler = effect -> {};
  private List<Event> pendingEvents = new ArrayList<>();
  private long lastTurnUs;
  private long nextTurnUs = Long.MAX_VALUE;

  /**
   * The earliest time at which the next turn can begin: its due time, or the time at which the turn
   * was requested if that is later. If the turn begins later, the event loop was busy or had no
   * processor time, and events may have waited since then.
   */
  private long turnRequestedUs;

  private long timer = NO_TIMER;
  private boolean shutdownCompleted;

  ReducerLoop(
      Vertx vertx,
      Context context,
      Reducer reducer,
      LongSupplier clock,
      LongSupplier tickUs,
      Consumer<Throwable> faultHandler) {
    this.vertx = vertx;
    this.context = context;
    this.reducer = reducer;
    this.clock = clock;
    this.tickUs = tickUs;
    this.faultHandler = faultHandler;
  }

  /** Sets the handler of effects and schedules a turn; earlier effects are dropped. */
  void setEffectHandler(Consumer<Effect> handler) {
    effectHandler = handler;
    scheduleTurn(clock.getAsLong());
  }

  @Override
  public void accept(Event event) {
    pendingEvents.add(event);
    scheduleTurn(lastTurnUs + tickUs.getAsLong());
  }

  /** Schedules a turn no later than {@code dueUs}. */
  private void scheduleTurn(long dueUs) {
    if (dueUs >= nextTurnUs) {
      return;
    }
    nextTurnUs = dueUs;
    if (timer != NO_TIMER) {
      vertx.cancelTimer(timer);
      timer = NO_TIMER;
    }
    long nowUs = clock.getAsLong();
    turnRequestedUs = Math.max(dueUs, nowUs);
    if (dueUs <= nowUs) {
      context.runOnContext(v -> runTurn(dueUs));
    } else {
      timer = vertx.setTimer(MicroClock.timerMs(nowUs, dueUs), t -> runTurn(dueUs));
    }
  }

  private void runTurn(long dueUs) {
    if (dueUs != nextTurnUs) {
      return; // superseded by an earlier turn
    }
    nextTurnUs = Long.MAX_VALUE;
    timer = NO_TIMER;
    lastTurnUs = clock.getAsLong();
    List<Event> events = pendingEvents;
    pendingEvents = new ArrayList<>();
    for (Effect effect : reduce(events)) {
      dispatch(effect);
    }
  }

  /**
   * Runs a turn. A fault in one turn must not end the loop. Later turns time out the queries that
   * the faulty turn left open; queries that it did not register expire in the frontends' table of
   * exchanges.
   */
  private List<Effect> reduce(List<Event> events) {
    try {
      return reducer.turn(lastTurnUs, Math.min(turnRequestedUs, lastTurnUs), events);
    } catch (RuntimeException | Error fault) {
      faultHandler.accept(fault);
      return List.of(new Effect.ScheduleWakeUp(lastTurnUs + tickUs.getAsLong()));
    }
  }

  /**
   * Handles one effect. A fault in its handler must not prevent the other effects of the turn from
   * being handled.
   */
  private void dispatch(Effect effect) {
    if (effect instanceof Effect.ScheduleWakeUp wakeUp) {
      if (!shutdownCompleted) { // after the shutdown no timer may keep the process alive
        scheduleTurn(Math.max(wakeUp.dueUs(), lastTurnUs + tickUs.getAsLong()));
      }
      return;
    }
    if (effect instanceof Effect.ShutdownCompleted) {
      // Events still start turns after the shutdown, because a frontend may read requests until it
      // is closed.
      shutdownCompleted = true;
    }
    try {
      effectHandler.accept(effect);
    } catch (RuntimeException | Error fault) {
      faultHandler.accept(fault);
    }
  }
}
