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
 * Gathers what the edges report into turns of the reducer and carries out the effects, all on the
 * one event loop. Turns are at least a tick apart: what comes in meanwhile shares one, and so its
 * sends share calls.
 */
final class ReducerLoop implements Consumer<Event> {
  private final Vertx vertx;
  private final Context context;
  private final Reducer reducer;
  private final LongSupplier clock;
  private final LongSupplier tickUs;
  private final Consumer<Throwable> faults;
  private Consumer<Effect> edges = effect -> {};
  private List<Event> gathered = new ArrayList<>();
  private long lastTurnUs;
  private long wakeUs = Long.MAX_VALUE;

  /**
   * When the next turn was asked for, or is due if that is later. A turn that begins after it found
   * the loop without processor time or busy meanwhile: what it reads may have waited unread since
   * then.
   */
  private long sinceUs;

  private long timer = -1;
  private boolean ended;

  ReducerLoop(
      Vertx vertx,
      Context context,
      Reducer reducer,
      LongSupplier clock,
      LongSupplier tickUs,
      Consumer<Throwable> faults) {
    this.vertx = vertx;
    this.context = context;
    this.reducer = reducer;
    this.clock = clock;
    this.tickUs = tickUs;
    this.faults = faults;
  }

  /** Where effects go; before this they go nowhere. */
  void edges(Consumer<Effect> to) {
    edges = to;
    wake(clock.getAsLong());
  }

  @Override
  public void accept(Event event) {
    gathered.add(event);
    wake(lastTurnUs + tickUs.getAsLong());
  }

  /** Sees to it that a turn begins at that time at the latest. */
  private void wake(long dueUs) {
    if (dueUs >= wakeUs) {
      return;
    }
    wakeUs = dueUs;
    if (timer >= 0) {
      vertx.cancelTimer(timer);
      timer = -1;
    }
    long now = clock.getAsLong();
    sinceUs = Math.max(dueUs, now);
    if (dueUs <= now) {
      context.runOnContext(v -> turn(dueUs));
    } else {
      timer = vertx.setTimer(MicroClock.timerMs(now, dueUs), t -> turn(dueUs));
    }
  }

  private void turn(long dueUs) {
    if (dueUs != wakeUs) {
      return; // an earlier one was asked for since
    }
    wakeUs = Long.MAX_VALUE;
    timer = -1;
    lastTurnUs = clock.getAsLong();
    List<Event> events = gathered;
    gathered = new ArrayList<>();
    List<Effect> effects;
    try {
      effects = reducer.turn(lastTurnUs, Math.min(sinceUs, lastTurnUs), events);
    } catch (
        RuntimeException e) { // the turns that follow still end what is open when its time is over
      faults.accept(e);
      effects = List.of(new Effect.ScheduleWakeUp(lastTurnUs + tickUs.getAsLong()));
    }
    for (Effect effect : effects) {
      carryOut(effect);
    }
  }

  /** A fault at one edge must not keep the other effects of the turn from being carried out. */
  private void carryOut(Effect effect) {
    if (effect instanceof Effect.ScheduleWakeUp e) {
      if (!ended) { // else nothing is due any more: no timer is to keep this alive
        wake(Math.max(e.dueUs(), lastTurnUs + tickUs.getAsLong()));
      }
      return;
    }
    ended |=
        effect
            instanceof
            Effect
                .ShutdownCompleted; // events still have their turn: a front may read on until it is
    // closed
    try {
      edges.accept(effect);
    } catch (RuntimeException e) {
      faults.accept(e);
    }
  }
}
